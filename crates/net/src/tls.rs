//! TLS towards callers, from certificate and key files.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use futures_rustls::rustls::pki_types::CertificateDer;
use futures_rustls::rustls::ServerConfig;
use futures_rustls::TlsAcceptor;

/// Why TLS cannot be offered.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("cannot read {0}: {1}; check the path and its permissions")]
    Read(PathBuf, std::io::Error),
    /// The file holds no private key.
    #[error("{0} holds no private key; write a PEM file with one")]
    NoKey(PathBuf),
    /// The certificate and the key are refused.
    #[error("the certificate or key is refused: {0}; check that they belong together")]
    Refused(#[from] futures_rustls::rustls::Error),
}

/// Makes an acceptor that offers HTTP/2 and HTTP/1.1.
pub fn acceptor(certificate: &Path, key: &Path) -> Result<TlsAcceptor, Error> {
    let mut reader = open(certificate)?;
    let chain: Vec<CertificateDer<'static>> = rustls_pemfile::certs(&mut reader)
        .collect::<Result<_, _>>()
        .map_err(|error| Error::Read(certificate.into(), error))?;
    let mut reader = open(key)?;
    let key = rustls_pemfile::private_key(&mut reader)
        .map_err(|error| Error::Read(key.into(), error))?
        .ok_or_else(|| Error::NoKey(key.into()))?;
    let mut config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(chain, key)?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}

fn open(path: &Path) -> Result<BufReader<File>, Error> {
    let file = File::open(path).map_err(|error| Error::Read(path.into(), error))?;
    Ok(BufReader::new(file))
}
