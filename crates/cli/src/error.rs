//! Why a command failed, and its exit code.

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file has faults.
    #[error("{0}")]
    Faults(String),
    /// The VM refused, or something failed.
    #[error("{0}")]
    Refused(String),
    /// The VM cannot be reached.
    #[error("{0}; check --admin and that the daemon runs")]
    Unreachable(String),
    /// Something in this process failed.
    #[error("{0:#}")]
    Failed(#[from] anyhow::Error),
}

impl Error {
    /// Returns the exit code.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::Failed(_) => 1,
            Self::Usage(_) | Self::Faults(_) => 2,
            Self::Unreachable(_) => 3,
        }
    }
}

impl From<pico_args::Error> for Error {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(format!("{error}; see --help"))
    }
}

/// Checks that nothing of the command line is left over.
pub(crate) fn finish(args: pico_args::Arguments) -> Result<(), Error> {
    let rest = args.finish();
    if rest.is_empty() {
        return Ok(());
    }
    Err(Error::Usage(format!(
        "unknown argument {:?}; see --help",
        rest[0]
    )))
}
