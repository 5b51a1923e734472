//! Parses JSON with comments and reports the errors in it.

use std::io::Read;

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

/// Returns whether `text` ends before its JSON does, as that of a file that is still being
/// written.
pub fn is_incomplete(text: &str) -> bool {
    match strip_comments(text) {
        Some(json) => {
            serde_json::from_str::<serde::de::IgnoredAny>(&json).is_err_and(|error| error.is_eof())
        }
        // The comments of a text that ends within one, or within a string, can be removed
        // once the end is added.
        None => ["/", "\"", "\\\"", "*/"]
            .iter()
            .any(|end| strip_comments(&format!("{text}{end}")).is_some()),
    }
}

/// Returns `text` without comments; none if it ends within a comment or a string, or has a
/// character that begins no comment.
fn strip_comments(text: &str) -> Option<String> {
    let mut json = String::new();
    let mut stripped = json_comments::StripComments::new(text.as_bytes());
    stripped.read_to_string(&mut json).ok()?;
    Some(json)
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
