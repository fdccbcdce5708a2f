use std::io::Read;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::read::MultiGzDecoder;

use super::{Result, SheetFault};

/// Maximum size of an unpacked document in bytes. Limits the memory, since a small value could unpack to gigabytes. A
/// sheet with 15,000 replicas takes about 2 MB.
pub const MAX_UNPACKED_BYTES: usize = 4_000_000;

/// First characters of gzip data in base64.
const PACKED_PREFIX: &[u8] = b"H4sI";

/// A sheet compressed with gzip and encoded in base64, since the platform stores text.
///
/// The JSON form of a sheet with 15,000 replicas exceeds the maximum value size of the platform.
#[derive(Debug)]
pub(crate) struct PackedSheet<'a> {
    text: &'a [u8],
}

impl<'a> PackedSheet<'a> {
    /// Returns the packed sheet in `bytes`, or `None` if `bytes` do not start like one.
    pub(crate) fn detect(bytes: &'a [u8]) -> Option<Self> {
        bytes
            .starts_with(PACKED_PREFIX)
            .then_some(Self { text: bytes })
    }

    /// Unpacks the document. The text may contain line breaks, which the tool `base64` inserts.
    pub(crate) fn unpack(&self) -> Result<Vec<u8>> {
        let is_not_whitespace = |byte: &u8| !byte.is_ascii_whitespace();
        let text = self.text.iter().copied();
        let text: Vec<u8> = text.filter(is_not_whitespace).collect();
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
            true => Err(vec![size_fault()]),
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

fn size_fault() -> SheetFault {
    SheetFault::new(
        "",
        format!("a packed sheet of more than {MAX_UNPACKED_BYTES} bytes"),
        format!("at most {MAX_UNPACKED_BYTES} bytes after unpacking"),
        "remove indentation, shorten identifiers, or split the deployment",
    )
}
