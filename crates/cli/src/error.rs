//! Errors of commands and their exit codes.

/// An error that ends a command.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The arguments are invalid, or a file that they name cannot be read.
    #[error("{0}")]
    Usage(String),
    /// The content of a file is invalid.
    #[error("{0}")]
    InvalidFile(String),
    /// The VM refused the request, its response cannot be used, or the demo found a
    /// violated guarantee.
    #[error("{0}")]
    Refused(String),
    /// No complete response arrived from the VM: the connection failed, or the response
    /// exceeded the limit on time or size.
    #[error("{0}; check --admin and that the daemon runs")]
    Unreachable(String),
    /// An operation of this process failed.
    #[error("{0:#}")]
    Failed(#[from] anyhow::Error),
}

impl Error {
    /// Returns the exit code of the process that ends with this error.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::Failed(_) => 1,
            Self::Usage(_) | Self::InvalidFile(_) => 2,
            Self::Unreachable(_) => 3,
        }
    }
}

impl From<pico_args::Error> for Error {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(format!("{error}; see --help"))
    }
}

/// Returns an error if any argument has not been used.
pub(crate) fn reject_unused_args(args: pico_args::Arguments) -> Result<(), Error> {
    let rest = args.finish();
    if rest.is_empty() {
        return Ok(());
    }
    Err(Error::Usage(format!(
        "unknown argument {:?}; see --help",
        rest[0]
    )))
}
