//! HTTP/1.1 as callers and servers of a run speak it: plain enough to be sent
//! and read with faults that a client library would not allow.

use std::io;
use std::io::ErrorKind;

use smol::io::AsyncReadExt;
use smol::net::TcpStream;

/// The largest head.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// The most fields of a head.
const FIELDS_MAX: usize = 48;
/// Bytes read at once.
const READ_BYTES: usize = 8 << 10;

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
    pub fn closes_connection(&self) -> bool {
        self.field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads messages from a connection.
pub struct MessageReader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

fn invalid_data(text: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, text)
}

fn copy_fields(fields: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let copy = |field: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(field.value).into_owned();
        (field.name.to_owned(), value)
    };
    fields.iter().map(copy).collect()
}

impl MessageReader {
    /// Reads from `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Returns whether bytes came that belong to no message yet.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns once the other side has closed the connection.
    pub async fn wait_closed(&mut self) {
        while let Ok(true) = self.fill().await {}
    }

    /// Reads a request; none if the connection ended between requests.
    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
            let mut head = httparse::Request::new(&mut fields);
            let parsed = head
                .parse(&self.buffer)
                .map_err(|_| invalid_data("no request"))?;
            if let httparse::Status::Complete(size) = parsed {
                let mut message = Message {
                    method: head.method.unwrap_or_default().into(),
                    path: head.path.unwrap_or_default().into(),
                    fields: copy_fields(head.headers),
                    ..Message::default()
                };
                self.buffer.drain(..size);
                message.body = self.read_body(&message, false).await?;
                return Ok(Some(message));
            }
            if !self.fill_head().await? {
                return self.end_of_stream();
            }
        }
    }

    /// Reads an answer; none if the connection ended before it.
    pub async fn read_response(&mut self) -> io::Result<Option<Message>> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
            let mut head = httparse::Response::new(&mut fields);
            let parsed = head
                .parse(&self.buffer)
                .map_err(|_| invalid_data("no answer"))?;
            if let httparse::Status::Complete(size) = parsed {
                let mut message = Message {
                    status: head.code.unwrap_or_default(),
                    fields: copy_fields(head.headers),
                    ..Message::default()
                };
                self.buffer.drain(..size);
                message.body = self.read_body(&message, true).await?;
                return Ok(Some(message));
            }
            if !self.fill_head().await? {
                return self.end_of_stream();
            }
        }
    }

    fn end_of_stream(&self) -> io::Result<Option<Message>> {
        if self.buffer.is_empty() {
            Ok(None)
        } else {
            Err(ErrorKind::UnexpectedEof.into())
        }
    }

    async fn fill_head(&mut self) -> io::Result<bool> {
        if self.buffer.len() > HEAD_MAX_BYTES {
            return Err(invalid_data("the head is too long"));
        }
        self.fill().await
    }

    async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; READ_BYTES];
        let size = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..size]);
        Ok(size > 0)
    }

    async fn read_body(&mut self, message: &Message, to_end: bool) -> io::Result<Vec<u8>> {
        if message.field("transfer-encoding").is_some() {
            return self.read_chunked().await;
        }
        match message.field("content-length") {
            Some(text) => {
                let size = text.parse().map_err(|_| invalid_data("no length"))?;
                self.read_exact(size).await
            }
            None if to_end => {
                while self.fill().await? {}
                Ok(std::mem::take(&mut self.buffer))
            }
            None => Ok(Vec::new()),
        }
    }

    async fn read_exact(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            if !self.fill().await? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..size).collect())
    }

    async fn read_chunked(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let parsed = httparse::parse_chunk_size(&self.buffer);
            match parsed.map_err(|_| invalid_data("no chunk"))? {
                httparse::Status::Partial => {
                    if !self.fill_head().await? {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                }
                httparse::Status::Complete((head, size)) => {
                    self.buffer.drain(..head);
                    let size = usize::try_from(size).map_err(|_| invalid_data("no size"))?;
                    body.extend(self.read_exact(size).await?);
                    self.read_exact(2).await?;
                    if size == 0 {
                        return Ok(body);
                    }
                }
            }
        }
    }
}
