//! ValidationErrors in what an operator wrote, all of them at once.

use std::fmt;

/// One fault: where it is, what is wrong and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ValidationError {
    /// The path of the field, such as `services[0].servers[2].slots`.
    pub field: String,
    /// What is wrong with it, and what to write in its place.
    pub problem: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// A list of faults that grows while a document is checked.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ValidationErrors(Vec<ValidationError>);

impl ValidationErrors {
    /// Makes an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a fault of `field`.
    pub fn add(&mut self, field: impl Into<String>, problem: impl Into<String>) {
        self.0.push(ValidationError {
            field: field.into(),
            problem: problem.into(),
        });
    }

    /// Adds a fault of `field` unless `ok` holds.
    pub fn require(&mut self, ok: bool, field: impl Into<String>, problem: impl Into<String>) {
        if !ok {
            self.add(field, problem);
        }
    }

    /// Returns whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the faults in the order they were found.
    pub fn list(&self) -> &[ValidationError] {
        &self.0
    }

    /// Returns `value` if nothing is wrong, or else the faults.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ValidationErrors {}

/// The longest name in bytes, so that keys and logs stay readable.
const NAME_MAX: usize = 64;

/// Checks that `name` is one that fits keys, headers and paths.
pub fn check_name(faults: &mut ValidationErrors, field: &str, name: &str) {
    let fits = !name.is_empty()
        && name.len() <= NAME_MAX
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    faults.require(
        fits,
        field,
        format!("\"{name}\" is not a name; write 1 to {NAME_MAX} of a-z, 0-9 and \"-\""),
    );
}

/// Checks that no name stands twice.
pub fn check_unique<'a>(
    faults: &mut ValidationErrors,
    field: &str,
    names: impl Iterator<Item = &'a str>,
) {
    let mut seen: Vec<&str> = Vec::new();
    for name in names {
        match seen.binary_search(&name) {
            Ok(_) => faults.add(
                field,
                format!("\"{name}\" stands twice; remove or rename one"),
            ),
            Err(at) => seen.insert(at, name),
        }
    }
}
