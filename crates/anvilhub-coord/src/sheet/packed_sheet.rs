use std::io::Read;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::read::MultiGzDecoder;

use super::{Result, SheetFault};

/// Largest document that a packed sheet may hold, in bytes. Bounds memory: a small value could unpack to
/// gigabytes. The sheet of 15,000 replicas has about 2 MB.
pub const MAX_UNPACKED_BYTES: usize = 4_000_000;

/// First bytes of gzip data in base64.
const PREFIX: &[u8] = b"H4sI";

/// A sheet in gzip form, written in base64, since the platform holds texts.
///
/// The JSON form of a sheet with 15,000 replicas exceeds the largest value of the platform.
#[derive(Debug)]
pub(crate) struct PackedSheet<'a> {
    text: &'a [u8],
}

impl<'a> PackedSheet<'a> {
    /// The packed sheet in `bytes`; none when they have another form.
    pub(crate) fn detect(bytes: &'a [u8]) -> Option<Self> {
        bytes.starts_with(PREFIX).then_some(Self { text: bytes })
    }

    /// The document. Line breaks within the text are allowed, as the tool `base64` writes them.
    pub(crate) fn unpack(&self) -> Result<Vec<u8>> {
        let is_text = |byte: &u8| !byte.is_ascii_whitespace();
        let text: Vec<u8> = self.text.iter().copied().filter(is_text).collect();
        let packed = STANDARD
            .decode(text)
            .map_err(|error| vec![packing_fault(&error)])?;
        let mut document = Vec::new();
        let limit = MAX_UNPACKED_BYTES as u64 + 1;
        MultiGzDecoder::new(packed.as_slice())
            .take(limit)
            .read_to_end(&mut document)
            .map_err(|error| vec![packing_fault(&error)])?;
        match document.len() > MAX_UNPACKED_BYTES {
            true => Err(vec![unpacked_fault()]),
            false => Ok(document),
        }
    }
}

fn packing_fault(error: &dyn std::error::Error) -> SheetFault {
    SheetFault::new(
        "",
        format!("a packed sheet that cannot be unpacked: {error}"),
        "gzip data in base64",
        "the value is truncated or altered: pack the sheet again and publish it whole",
    )
}

fn unpacked_fault() -> SheetFault {
    SheetFault::new(
        "",
        format!("a packed sheet of more than {MAX_UNPACKED_BYTES} bytes"),
        format!("at most {MAX_UNPACKED_BYTES} bytes after unpacking"),
        "remove indentation, shorten identifiers, or split the deployment",
    )
}
