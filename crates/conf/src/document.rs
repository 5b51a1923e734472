//! Parses JSON with comments and reports the errors in it.

use serde::de::DeserializeOwned;

use crate::validation::ValidationErrors;

/// Parses `text`, in which `//`, `#` and `/* */` comments are allowed.
///
/// Returns an error for each field that `T` does not have. The first value of a
/// wrong type ends the parse; its error gives the path, line and column.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ValidationErrors> {
    let mut errors = ValidationErrors::new();
    let stripped = json_comments::StripComments::new(text.as_bytes());
    let mut json = serde_json::Deserializer::from_reader(stripped);
    let mut unknown = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(&mut json, &mut track);
    let parsed = serde_ignored::deserialize(tracked, |path| unknown.push(path.to_string()));
    for field in unknown {
        errors.add(
            clean_path(&field),
            "unknown field; remove it or correct its name",
        );
    }
    match parsed {
        Ok(value) => {
            if let Err(error) = json.end() {
                errors.add("(end)", format!("{error}; remove what follows the object"));
            }
            errors.into_result(value)
        }
        Err(error) => {
            let path = track.path().to_string();
            errors.add(clean_path(&path), error.to_string());
            Err(errors)
        }
    }
}

/// Removes the parts of a path that the path trackers of serde add for `Option`
/// and newtype wrappers; the path of the whole document becomes "(document)".
fn clean_path(path: &str) -> String {
    let parts: Vec<_> = path
        .split('.')
        .filter(|part| *part != "?" && !part.is_empty())
        .collect();
    if parts.is_empty() {
        return "(document)".into();
    }
    parts.join(".")
}
