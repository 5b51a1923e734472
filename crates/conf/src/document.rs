//! Reads JSON with comments and reports what is wrong with it.

use serde::de::DeserializeOwned;

use crate::validation::ValidationErrors;

/// Parses `text`, in which `//`, `#` and `/* */` comments are allowed.
///
/// Fields that the type does not know are faults, all of them listed. The
/// first field of a wrong type ends the parse and is listed with its path,
/// line and column.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ValidationErrors> {
    let mut faults = ValidationErrors::new();
    let stripped = json_comments::StripComments::new(text.as_bytes());
    let mut json = serde_json::Deserializer::from_reader(stripped);
    let mut unknown = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(&mut json, &mut track);
    let parsed = serde_ignored::deserialize(tracked, |path| unknown.push(path.to_string()));
    for field in unknown {
        faults.add(
            clean(&field),
            "unknown field; remove it or correct its name",
        );
    }
    match parsed {
        Ok(value) => {
            if let Err(error) = json.end() {
                faults.add("(end)", format!("{error}; remove what follows the object"));
            }
            faults.into_result(value)
        }
        Err(error) => {
            let path = track.path().to_string();
            faults.add(clean(&path), error.to_string());
            Err(faults)
        }
    }
}

/// Removes the marks that the path trackers leave for options and wrappers.
fn clean(path: &str) -> String {
    let parts: Vec<_> = path
        .split('.')
        .filter(|part| *part != "?" && !part.is_empty())
        .collect();
    if parts.is_empty() {
        return "(document)".into();
    }
    parts.join(".")
}
