//! Requests between VMs over TCP, for configuration that is too large for datagrams.
//!
//! A connection carries one request and one reply. Each is a signed frame: the
//! length of the body as 4 bytes in little-endian order, the tag, and the body in
//! postcard encoding. Requests only read, so a replayed frame does no harm.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use base::revisions::RegistryRevisions;
use base::Revision;
use conf::head::PartRef;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use smol::net::TcpStream;

use crate::key::Keyring;
use crate::key::TAG_BYTES;

/// The largest body of a frame that is accepted.
const FRAME_MAX_BYTES: usize = 8 << 20;
/// The time limit for an exchange, from connecting to the end of the reply.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The most parts that one request can name. The replying VM ignores references
/// beyond these.
pub const PARTS_PER_REQUEST: usize = 64;

/// A request for configuration that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Requests the objects that are newer at the receiver than at the sender.
    Newer {
        /// The revision of the sender's head object, 0 if the sender has none.
        head: Revision,
        /// The revision of the sender's domain orders, 0 if the sender has none.
        domains: Revision,
        /// The revisions up to which the sender has the parts of the registry.
        registry: RegistryRevisions,
    },
    /// Requests the part objects to which the references point.
    Parts(Vec<PartRef>),
}

/// The reply to a [`Request`], of the same variant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The newer objects in JSON, each `None` if the sender of the request has an
    /// object that is as new.
    Newer {
        /// The head object.
        head: Option<Vec<u8>>,
        /// All domain orders.
        domains: Option<Vec<u8>>,
        /// The changes in the registry after the revisions in the request.
        registry: Option<Vec<u8>>,
    },
    /// The bytes of the parts in the order of the references, each `None` if the
    /// replying VM does not have the part.
    Parts(Vec<Option<Vec<u8>>>),
}

/// Sends `request` to the VM at `to` and returns the reply.
///
/// Fails with [`io::ErrorKind::TimedOut`] if the exchange takes longer than 2 s, and
/// with [`io::ErrorKind::InvalidData`] if the body of the reply is incomplete, too
/// large or not signed by one of `keys`.
pub async fn request(to: SocketAddr, keys: &Keyring, request: &Request) -> io::Result<Reply> {
    with_timeout(async {
        let mut stream = TcpStream::connect(to).await?;
        write_frame(&mut stream, keys, request).await?;
        read_frame(&mut stream, keys).await
    })
    .await
}

/// Reads one request from `stream` and writes the reply that `respond` returns.
pub async fn serve(
    mut stream: TcpStream,
    keys: &Keyring,
    respond: impl FnOnce(Request) -> Reply,
) -> io::Result<()> {
    with_timeout(async {
        let request = read_frame(&mut stream, keys).await?;
        write_frame(&mut stream, keys, &respond(request)).await
    })
    .await
}

async fn with_timeout<T>(work: impl std::future::Future<Output = io::Result<T>>) -> io::Result<T> {
    futures_lite::future::or(work, async {
        smol::Timer::after(EXCHANGE_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

async fn write_frame<T: Serialize>(
    stream: &mut TcpStream,
    keys: &Keyring,
    value: &T,
) -> io::Result<()> {
    let body = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&keys.sign(&body));
    frame.extend_from_slice(&body);
    stream.write_all(&frame).await?;
    stream.flush().await
}

async fn read_frame<T: DeserializeOwned>(stream: &mut TcpStream, keys: &Keyring) -> io::Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > FRAME_MAX_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut tag = [0; TAG_BYTES];
    stream.read_exact(&mut tag).await?;
    let mut body = Vec::new();
    let received = stream.take(length as u64).read_to_end(&mut body).await?;
    if received < length || !keys.verify(&body, &tag) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    postcard::from_bytes(&body).map_err(io::Error::other)
}
