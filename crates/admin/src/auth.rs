//! Who may use the API, by bearer tokens.
//!
//! Tokens come from the settings and from a file that is read again when it
//! changes, so that they are replaced without a restart. Comparing takes the
//! same time whatever is wrong with a token.

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

/// Whoever uses a VM that asks for no token, which only loopback may do.
const LOCAL: &str = "local";

/// Somebody who may use the API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Principal {
    /// The name of the token.
    pub name: String,
    /// What it allows.
    pub role: Role,
}

/// The tokens in the file, as they were read.
#[derive(Debug, Default)]
struct Loaded {
    at: Option<SystemTime>,
    tokens: Vec<Token>,
}

/// The tokens.
#[derive(Debug)]
pub struct Authenticator {
    fixed: Vec<Token>,
    file: Option<PathBuf>,
    loaded: Mutex<Loaded>,
}

impl Authenticator {
    /// Makes the access rules that the settings name.
    pub fn new(settings: &Admin) -> Self {
        Self {
            fixed: settings.tokens.clone(),
            file: settings.file.clone(),
            loaded: Mutex::default(),
        }
    }

    /// Returns who sent a request with `headers`, if anybody that is known.
    pub fn authenticate(&self, headers: &HeaderMap) -> Option<Principal> {
        if self.fixed.is_empty() && self.file.is_none() {
            return Some(Principal {
                name: LOCAL.into(),
                role: Role::Write,
            });
        }
        let given = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let given = given.strip_prefix("Bearer ")?.as_bytes();
        let mut found = None;
        for token in self.fixed.iter().chain(&self.file_tokens()) {
            if bool::from(token.token.as_bytes().ct_eq(given)) {
                found = Some(Principal {
                    name: token.name.clone(),
                    role: token.role,
                });
            }
        }
        found
    }

    /// Returns the tokens in the file; the last good ones if it has faults.
    fn file_tokens(&self) -> Vec<Token> {
        let Some(path) = &self.file else {
            return Vec::new();
        };
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        let at = std::fs::metadata(path)
            .and_then(|meta| meta.modified())
            .ok();
        if at.is_some() && at != loaded.at {
            loaded.at = at;
            match read(path) {
                Ok(tokens) => {
                    log::info!(
                        "admin: {} tokens read from {}",
                        tokens.len(),
                        path.display()
                    );
                    loaded.tokens = tokens;
                }
                Err(faults) => {
                    log::error!("admin: {} is kept out: {faults}", path.display());
                }
            }
        }
        loaded.tokens.clone()
    }
}

fn read(path: &PathBuf) -> Result<Vec<Token>, ValidationErrors> {
    let mut faults = ValidationErrors::new();
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let tokens: Vec<Token> = conf::document::parse(&text)?;
    settings::check_tokens(&mut faults, "tokens", &tokens);
    faults.into_result(tokens)
}
