use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Length of a record in bytes.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// The greatest records of several parts, compared byte by byte. Equal records all count.
#[derive(Clone, Debug)]
pub struct TopRecords {
    most: usize,
    kept: BinaryHeap<Reverse<Record>>,
}

impl TopRecords {
    /// An empty result that keeps `most` records.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            kept: BinaryHeap::new(),
        }
    }

    /// Adds the records of a part; a remainder shorter than a record is none.
    pub fn add(&mut self, part: &[u8]) {
        for record in part.as_chunks::<RECORD_BYTES>().0 {
            self.add_record(*record);
        }
    }

    /// The records, greatest first.
    pub fn into_bytes(self) -> Vec<u8> {
        self.kept
            .into_sorted_vec()
            .into_iter()
            .flat_map(|Reverse(record)| record)
            .collect()
    }

    fn add_record(&mut self, record: Record) {
        if self.kept.len() < self.most {
            self.kept.push(Reverse(record));
            return;
        }
        if let Some(mut least) = self.kept.peek_mut()
            && least.0 < record
        {
            *least = Reverse(record);
        }
    }
}
