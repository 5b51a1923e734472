//! A minimal HTTP/1.1 message reader for the callers and servers of a run. HTTP
//! libraries would not allow the malformed messages that the soak sends and reads.

use std::io;
use std::io::ErrorKind;

use smol::io::AsyncReadExt;
use smol::net::TcpStream;

/// The maximum size of a message head.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// The maximum number of header fields of a message.
const FIELDS_MAX: usize = 48;
/// The size of a read from the connection.
const READ_BYTES: usize = 8 << 10;

/// A request or a response with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The method of a request; empty for a response.
    pub method: String,
    /// The path of a request; empty for a response.
    pub path: String,
    /// The status of a response; zero for a request.
    pub status: u16,
    /// The body; empty if the message has none.
    pub body: Vec<u8>,
    fields: Vec<(String, String)>,
}

impl Message {
    /// Returns the value of the first header field of this name, in any case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns whether the sender closes the connection after the message.
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
    /// Returns a reader of `stream` with an empty buffer.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Returns whether bytes are buffered beyond the last message.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits until the other side closes the connection. Bytes that arrive before are
    /// buffered.
    pub async fn wait_closed(&mut self) {
        while let Ok(true) = self.fill().await {}
    }

    /// Reads a request. Returns `None` if the connection closed between requests.
    ///
    /// # Errors
    ///
    /// Fails if the request is malformed, its head is over [`HEAD_MAX_BYTES`] or the
    /// connection ends within the request.
    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
            let mut head = httparse::Request::new(&mut fields);
            let parsed = head
                .parse(&self.buffer)
                .map_err(|_| invalid_data("malformed request head"))?;
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

    /// Reads a response. Returns `None` if the connection closed before its first byte.
    ///
    /// # Errors
    ///
    /// Fails if the response is malformed, its head is over [`HEAD_MAX_BYTES`] or the
    /// connection ends within the response.
    pub async fn read_response(&mut self) -> io::Result<Option<Message>> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
            let mut head = httparse::Response::new(&mut fields);
            let parsed = head
                .parse(&self.buffer)
                .map_err(|_| invalid_data("malformed response head"))?;
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

    /// Returns `None` if the connection closed between messages, an error otherwise.
    fn end_of_stream(&self) -> io::Result<Option<Message>> {
        if self.buffer.is_empty() {
            Ok(None)
        } else {
            Err(ErrorKind::UnexpectedEof.into())
        }
    }

    /// Buffers more bytes of a head; returns false at the end of the stream.
    async fn fill_head(&mut self) -> io::Result<bool> {
        if self.buffer.len() > HEAD_MAX_BYTES {
            return Err(invalid_data("message head is over the size limit"));
        }
        self.fill().await
    }

    /// Buffers more bytes; returns false at the end of the stream.
    async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; READ_BYTES];
        let size = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..size]);
        Ok(size > 0)
    }

    /// Reads the body after the head. Without a length, the body extends to the end of
    /// the stream if `to_end`, and is empty otherwise.
    async fn read_body(&mut self, message: &Message, to_end: bool) -> io::Result<Vec<u8>> {
        if message.field("transfer-encoding").is_some() {
            return self.read_chunked().await;
        }
        match message.field("content-length") {
            Some(text) => {
                let size = text
                    .parse()
                    .map_err(|_| invalid_data("malformed content-length"))?;
                self.read_exact(size).await
            }
            None if to_end => {
                while self.fill().await? {}
                Ok(std::mem::take(&mut self.buffer))
            }
            None => Ok(Vec::new()),
        }
    }

    /// Takes `size` bytes from the buffer, and reads them before if necessary.
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
            match parsed.map_err(|_| invalid_data("malformed chunk size"))? {
                httparse::Status::Partial => {
                    if !self.fill_head().await? {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                }
                httparse::Status::Complete((head, size)) => {
                    self.buffer.drain(..head);
                    let size = usize::try_from(size)
                        .map_err(|_| invalid_data("chunk size out of range"))?;
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
