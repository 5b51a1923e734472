//! HTTP/1.1 as callers and servers of a run speak it: plain enough to be sent
//! and read with faults that a client library would not allow.

use std::io;
use std::io::ErrorKind;

use smol::io::AsyncReadExt;
use smol::net::TcpStream;

/// The largest head.
const HEAD_MAX: usize = 32 << 10;
/// The most fields of a head.
const FIELDS_MAX: usize = 48;
/// Bytes read at once.
const CHUNK: usize = 8 << 10;

/// The start of a request or an answer with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The method of a request.
    pub method: String,
    /// The path of a request.
    pub path: String,
    /// The status of an answer.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    fields: Vec<(String, String)>,
}

impl Message {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns whether the sender closes the connection after it.
    pub fn closes(&self) -> bool {
        self.field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    kept: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, text)
}

fn copy_fields(fields: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let copy = |field: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(field.value).into_owned();
        (field.name.to_owned(), value)
    };
    fields.iter().map(copy).collect()
}

impl Reader {
    /// Reads from `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            kept: Vec::new(),
        }
    }

    /// Returns whether bytes came that belong to no message yet.
    pub fn has_more(&self) -> bool {
        !self.kept.is_empty()
    }

    /// Returns once the other side has closed the connection.
    pub async fn closed(&mut self) {
        while let Ok(true) = self.fill_any().await {}
    }

    /// Reads a request; none if the connection ended between requests.
    pub async fn request(&mut self) -> io::Result<Option<Message>> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
            let mut head = httparse::Request::new(&mut fields);
            let parsed = head.parse(&self.kept).map_err(|_| broken("no request"))?;
            if let httparse::Status::Complete(size) = parsed {
                let mut message = Message {
                    method: head.method.unwrap_or_default().into(),
                    path: head.path.unwrap_or_default().into(),
                    fields: copy_fields(head.headers),
                    ..Message::default()
                };
                self.kept.drain(..size);
                message.body = self.body(&message, false).await?;
                return Ok(Some(message));
            }
            if !self.fill().await? {
                return self.ended();
            }
        }
    }

    /// Reads an answer; none if the connection ended before it.
    pub async fn answer(&mut self) -> io::Result<Option<Message>> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
            let mut head = httparse::Response::new(&mut fields);
            let parsed = head.parse(&self.kept).map_err(|_| broken("no answer"))?;
            if let httparse::Status::Complete(size) = parsed {
                let mut message = Message {
                    status: head.code.unwrap_or_default(),
                    fields: copy_fields(head.headers),
                    ..Message::default()
                };
                self.kept.drain(..size);
                message.body = self.body(&message, true).await?;
                return Ok(Some(message));
            }
            if !self.fill().await? {
                return self.ended();
            }
        }
    }

    fn ended(&self) -> io::Result<Option<Message>> {
        if self.kept.is_empty() {
            Ok(None)
        } else {
            Err(ErrorKind::UnexpectedEof.into())
        }
    }

    async fn fill(&mut self) -> io::Result<bool> {
        if self.kept.len() > HEAD_MAX {
            return Err(broken("the head is too long"));
        }
        self.fill_any().await
    }

    async fn fill_any(&mut self) -> io::Result<bool> {
        let mut chunk = [0; CHUNK];
        let size = self.stream.read(&mut chunk).await?;
        self.kept.extend_from_slice(&chunk[..size]);
        Ok(size > 0)
    }

    async fn body(&mut self, message: &Message, to_end: bool) -> io::Result<Vec<u8>> {
        if message.field("transfer-encoding").is_some() {
            return self.chunks().await;
        }
        match message.field("content-length") {
            Some(text) => {
                let size = text.parse().map_err(|_| broken("no length"))?;
                self.take(size).await
            }
            None if to_end => {
                while self.fill_any().await? {}
                Ok(std::mem::take(&mut self.kept))
            }
            None => Ok(Vec::new()),
        }
    }

    async fn take(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.kept.len() < size {
            if !self.fill_any().await? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.kept.drain(..size).collect())
    }

    async fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let parsed = httparse::parse_chunk_size(&self.kept);
            match parsed.map_err(|_| broken("no chunk"))? {
                httparse::Status::Partial => {
                    if !self.fill().await? {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                }
                httparse::Status::Complete((head, size)) => {
                    self.kept.drain(..head);
                    let size = usize::try_from(size).map_err(|_| broken("no size"))?;
                    body.extend(self.take(size).await?);
                    self.take(2).await?;
                    if size == 0 {
                        return Ok(body);
                    }
                }
            }
        }
    }
}
