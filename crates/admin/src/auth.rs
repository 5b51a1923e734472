//! Authentication of API requests by bearer tokens.
//!
//! Tokens come from the settings and from a file that is read again when it
//! changes, so that tokens can be replaced without a restart. Tokens are compared in
//! constant time: the time depends on the lengths of the tokens, but not on where they
//! differ.

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::SystemTime;

use conf::settings;
use conf::settings::Admin;
use conf::settings::Role;
use conf::settings::Token;
use conf::ValidationErrors;
use http::header;
use http::HeaderMap;
use subtle::ConstantTimeEq;

/// The name of the principal if no tokens are configured. The settings allow that only
/// if the API listens on a loopback address.
const LOCAL_NAME: &str = "local";

/// The authenticated sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Principal {
    /// The name of the token's user, which is recorded with each change.
    pub name: String,
    /// What the token allows.
    pub role: Role,
}

/// The tokens of the last valid token file.
#[derive(Debug, Default)]
struct FileTokens {
    /// The modification time of the file when it was last read; `None` before that.
    modified: Option<SystemTime>,
    tokens: Vec<Token>,
}

/// Maps access tokens to principals.
#[derive(Debug)]
pub struct Authenticator {
    /// The tokens in the settings.
    static_tokens: Vec<Token>,
    /// The path of the token file, if the settings name one.
    file: Option<PathBuf>,
    file_tokens: Mutex<FileTokens>,
}

impl Authenticator {
    /// Creates an authenticator for the tokens and the token file in `settings`. The
    /// file is read when the first request is authenticated.
    pub fn new(settings: &Admin) -> Self {
        Self {
            static_tokens: settings.tokens.clone(),
            file: settings.file.clone(),
            file_tokens: Mutex::default(),
        }
    }

    /// Returns the sender of a request with `headers`, or `None` if its token is
    /// missing or unknown.
    ///
    /// If neither tokens nor a token file are configured, every request is accepted
    /// and allowed to write.
    pub fn authenticate(&self, headers: &HeaderMap) -> Option<Principal> {
        if self.static_tokens.is_empty() && self.file.is_none() {
            return Some(Principal {
                name: LOCAL_NAME.into(),
                role: Role::Write,
            });
        }
        let given = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let given = given.strip_prefix("Bearer ")?.as_bytes();
        let mut principal = None;
        // Compares all tokens, so that the time does not depend on which one matches.
        for token in self.static_tokens.iter().chain(&self.read_file_tokens()) {
            if bool::from(token.token.as_bytes().ct_eq(given)) {
                principal = Some(Principal {
                    name: token.name.clone(),
                    role: token.role,
                });
            }
        }
        principal
    }

    /// Returns the tokens in the token file, which is read if its modification time has
    /// changed. Returns the previous tokens if the file is invalid or missing.
    fn read_file_tokens(&self) -> Vec<Token> {
        let Some(path) = &self.file else {
            return Vec::new();
        };
        let mut loaded = self
            .file_tokens
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let modified = std::fs::metadata(path)
            .and_then(|meta| meta.modified())
            .ok();
        if modified.is_some() && modified != loaded.modified {
            // Recorded even if the file is invalid, so that the error is logged once.
            loaded.modified = modified;
            match parse_file(path) {
                Ok(tokens) => {
                    log::info!(
                        "admin: read {} tokens from {}",
                        tokens.len(),
                        path.display()
                    );
                    loaded.tokens = tokens;
                }
                Err(errors) => {
                    log::error!(
                        "admin: token file {} is invalid, previous tokens stay in force: {errors}",
                        path.display()
                    );
                }
            }
        }
        loaded.tokens.clone()
    }
}

/// Parses and validates the token file. A file that cannot be read counts as empty,
/// which is invalid.
fn parse_file(path: &PathBuf) -> Result<Vec<Token>, ValidationErrors> {
    let mut errors = ValidationErrors::new();
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let tokens: Vec<Token> = conf::document::parse(&text)?;
    settings::check_tokens(&mut errors, "tokens", &tokens);
    errors.into_result(tokens)
}
