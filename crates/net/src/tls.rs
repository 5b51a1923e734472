//! TLS for connections from callers, with a certificate and a key from PEM files.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use futures_rustls::rustls::pki_types::CertificateDer;
use futures_rustls::rustls::ServerConfig;
use futures_rustls::TlsAcceptor;

/// Why the TLS settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read or is not in PEM format.
    #[error("cannot read {0}: {1}; check the path and its permissions")]
    Read(PathBuf, std::io::Error),
    /// The key file contains no private key.
    #[error("{0} contains no private key; provide a PEM file with one")]
    NoKey(PathBuf),
    /// The certificate and the key are invalid or do not belong together.
    #[error("the certificate or key is rejected: {0}; check that they belong together")]
    Rejected(#[from] futures_rustls::rustls::Error),
}

/// Creates an acceptor that offers HTTP/2 and HTTP/1.1 by ALPN, in this order.
///
/// `certificate` is the path of the certificate chain, and `key` that of its private
/// key.
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
