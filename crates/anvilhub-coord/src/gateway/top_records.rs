use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Length of a record in bytes.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// Collects the greatest records of several shards, compared byte by byte. Duplicates are kept.
#[derive(Clone, Debug)]
pub struct TopRecords {
    max_records: usize,
    records: BinaryHeap<Reverse<Record>>,
}

impl TopRecords {
    /// Creates an empty collection of at most `max_records` records.
    pub fn new(max_records: usize) -> Self {
        Self {
            max_records,
            records: BinaryHeap::new(),
        }
    }

    /// Adds the records of a shard's answer. Ignores trailing bytes that are shorter than a record.
    pub fn add_answer(&mut self, body: &[u8]) {
        for record in body.as_chunks::<RECORD_BYTES>().0 {
            self.add_record(*record);
        }
    }

    /// Returns the bytes of the records, greatest record first.
    pub fn into_bytes(self) -> Vec<u8> {
        self.records
            .into_sorted_vec()
            .into_iter()
            .flat_map(|Reverse(record)| record)
            .collect()
    }

    fn add_record(&mut self, record: Record) {
        if self.records.len() < self.max_records {
            self.records.push(Reverse(record));
            return;
        }
        if let Some(mut smallest) = self.records.peek_mut()
            && smallest.0 < record
        {
            *smallest = Reverse(record);
        }
    }
}
