//! Validation of documents that operators write, such as settings and tickets.
//!
//! All errors of a document are collected and reported together.

use std::fmt;

/// One error in a document: the field, what is wrong and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ValidationError {
    /// The path of the field, such as `services[0].servers[2].slots`.
    pub field: String,
    /// What is wrong with the field, and what to write instead.
    pub problem: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// The errors found in a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ValidationErrors(Vec<ValidationError>);

impl ValidationErrors {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an error in `field`.
    pub fn add(&mut self, field: impl Into<String>, problem: impl Into<String>) {
        self.0.push(ValidationError {
            field: field.into(),
            problem: problem.into(),
        });
    }

    /// Adds an error in `field` unless `ok` is true.
    pub fn require(&mut self, ok: bool, field: impl Into<String>, problem: impl Into<String>) {
        if !ok {
            self.add(field, problem);
        }
    }

    /// Returns whether no error was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the errors in the order in which they were found.
    pub fn list(&self) -> &[ValidationError] {
        &self.0
    }

    /// Returns `value` if no error was found, otherwise the errors.
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

/// The limit on the length of a name, which keeps keys and logs readable.
const NAME_MAX_BYTES: usize = 64;

/// Checks that `name` can be part of a store key, a header and a URL path.
pub fn check_name(errors: &mut ValidationErrors, field: &str, name: &str) {
    let valid = !name.is_empty()
        && name.len() <= NAME_MAX_BYTES
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    errors.require(
        valid,
        field,
        format!("\"{name}\" is not a valid name; write 1 to {NAME_MAX_BYTES} characters of a-z, 0-9 and \"-\""),
    );
}

/// Checks that no name occurs twice in the list `field`.
pub fn check_unique<'a>(
    errors: &mut ValidationErrors,
    field: &str,
    names: impl Iterator<Item = &'a str>,
) {
    let mut seen: Vec<&str> = Vec::new();
    for name in names {
        match seen.binary_search(&name) {
            Ok(_) => errors.add(
                field,
                format!("\"{name}\" occurs twice; remove or rename one"),
            ),
            Err(index) => seen.insert(index, name),
        }
    }
}
