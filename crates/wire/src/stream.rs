//! Requests between VMs that are too large for datagrams, over TCP.
//!
//! One request and one answer per connection, each a signed frame: length,
//! tag, postcard. They only read, so a repeated frame does no harm.

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

/// The largest frame.
const FRAME_MAX: usize = 8 << 20;
/// The longest time for a request and its answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// Entries that are asked for at once.
pub const PARTS_PER_REQUEST: usize = 64;

/// What a VM asks another for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// The head and the orders about failure domains, if newer than these.
    Newer {
        /// The revision of the head that the asking VM has.
        head: Revision,
        /// The revision of the orders that the asking VM has.
        domains: Revision,
        /// Up to where the asking VM knows the registry.
        registry: RegistryRevisions,
    },
    /// The parts that these entries name.
    Parts(Vec<PartRef>),
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The newer objects, as JSON; none where the asking VM's are as new.
    Newer {
        /// The head.
        head: Option<Vec<u8>>,
        /// The orders about failure domains.
        domains: Option<Vec<u8>>,
        /// What is newer in the registry.
        registry: Option<Vec<u8>>,
    },
    /// The parts in the order of the entries; none for one that is not held.
    Parts(Vec<Option<Vec<u8>>>),
}

/// Asks the VM at `to`.
pub async fn request(to: SocketAddr, keys: &Keyring, request: &Request) -> io::Result<Reply> {
    limit(async {
        let mut stream = TcpStream::connect(to).await?;
        write(&mut stream, keys, request).await?;
        read(&mut stream, keys).await
    })
    .await
}

/// Reads one request from `stream` and writes what `answer` makes of it.
pub async fn serve(
    mut stream: TcpStream,
    keys: &Keyring,
    answer: impl FnOnce(Request) -> Reply,
) -> io::Result<()> {
    limit(async {
        let request = read(&mut stream, keys).await?;
        write(&mut stream, keys, &answer(request)).await
    })
    .await
}

async fn limit<T>(work: impl std::future::Future<Output = io::Result<T>>) -> io::Result<T> {
    futures_lite::future::or(work, async {
        smol::Timer::after(PATIENCE).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

async fn write<T: Serialize>(stream: &mut TcpStream, keys: &Keyring, value: &T) -> io::Result<()> {
    let body = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&keys.sign(&body));
    frame.extend_from_slice(&body);
    stream.write_all(&frame).await?;
    stream.flush().await
}

async fn read<T: DeserializeOwned>(stream: &mut TcpStream, keys: &Keyring) -> io::Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > FRAME_MAX {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut tag = [0; TAG_BYTES];
    stream.read_exact(&mut tag).await?;
    let mut body = Vec::new();
    let got = stream.take(length as u64).read_to_end(&mut body).await?;
    if got < length || !keys.verify(&body, &tag) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    postcard::from_bytes(&body).map_err(io::Error::other)
}
