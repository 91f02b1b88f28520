//! Access to fixture files, and helpers that build generic MessagePack values.

use rmpv::Value;
use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::path::PathBuf;
use walnuttrestle::protocol::codec::{decode, encode, from_value, to_value};

/// The cases of one fixture file.
pub(crate) struct Fixtures {
    path: PathBuf,
    /// Whether the file is rewritten with the present encodings instead of being compared with them.
    updating: bool,
    /// Encoded bytes of each case in the file, by case name.
    stored: BTreeMap<String, Vec<u8>>,
    /// Encoded bytes of each case that the test has used, by case name.
    pub(crate) used: BTreeMap<String, Vec<u8>>,
}

impl Fixtures {
    /// Opens a fixture file in `tests/data`.
    pub(crate) fn open(file: &str) -> Fixtures {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
        let path = path.join("tests/data").join(file);
        let updating = std::env::var("UPDATE_FIXTURES").is_ok_and(|value| value == "1");
        let stored = match updating {
            true => BTreeMap::new(),
            false => read_cases(&path),
        };
        Fixtures {
            path,
            updating,
            stored,
            used: BTreeMap::new(),
        }
    }

    /// Returns the stored bytes of a case, or `encoded` if the fixture file is being rewritten. Marks the case as used.
    pub(crate) fn stored_bytes(&mut self, name: &str, encoded: Vec<u8>) -> Vec<u8> {
        let bytes = match self.stored.get(name) {
            Some(bytes) => bytes.clone(),
            None if self.updating => encoded,
            None => panic!("{} has no case {name}", self.path.display()),
        };
        let previous = self.used.insert(name.to_string(), bytes.clone());
        assert!(previous.is_none(), "case {name} is used twice");
        bytes
    }

    /// Asserts that `bytes` are equal to the stored bytes of the case; returns the stored bytes.
    pub(crate) fn check_encoding(&mut self, name: &str, bytes: &[u8]) -> Vec<u8> {
        let stored = self.stored_bytes(name, bytes.to_vec());
        assert_eq!(
            hex(bytes),
            hex(&stored),
            "{name}: the encoding differs from the fixture"
        );
        stored
    }

    /// Asserts that the value is encoded as the stored bytes of the case, and that these are decoded to the value.
    pub(crate) fn check_round_trip<T>(&mut self, name: &str, value: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let stored = self.check_encoding(name, &encode(value));
        let decoded: T = decode(&stored).expect(name);
        assert_eq!(&decoded, value, "{name}: decoded to another value");
        let reencoded = encode(&decoded);
        assert_eq!(
            hex(&reencoded),
            hex(&stored),
            "{name}: the decoded value has another encoding"
        );
    }

    /// Like `check_round_trip`, for a record in the key-value store. Such a record is also converted to and from a
    /// generic value.
    pub(crate) fn check_record<T>(&mut self, name: &str, value: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        self.check_round_trip(name, value);
        let generic = to_value(value);
        let stored = &self.used[name];
        assert_eq!(
            hex(&encode_value(&generic)),
            hex(stored),
            "{name}: the encoding of the generic value differs"
        );
        let decoded: T = from_value(&generic).expect(name);
        assert_eq!(
            &decoded, value,
            "{name}: the generic value is converted to another record"
        );
    }

    /// Asserts that a message body as another process writes it is decoded to this value.
    pub(crate) fn check_decoding<T>(&mut self, name: &str, body: &Value, value: &T)
    where
        T: DeserializeOwned + PartialEq + Debug,
    {
        let stored = self.stored_bytes(name, encode_value(body));
        assert_eq!(
            hex(&encode_value(body)),
            hex(&stored),
            "{name}: the body built by the test differs from the fixture"
        );
        let decoded: T = decode(&stored).expect(name);
        assert_eq!(&decoded, value, "{name}: decoded to another value");
    }

    /// Asserts that the test used every case of the file. While updating, writes the file and fails.
    pub(crate) fn finish(self) {
        if self.updating {
            let mut text = String::new();
            for (name, bytes) in &self.used {
                writeln!(text, "{name} {}", hex(bytes)).unwrap();
            }
            std::fs::write(&self.path, text).unwrap();
            panic!(
                "{} was rewritten and nothing was compared; run again without UPDATE_FIXTURES",
                self.path.display()
            );
        }
        let stored: Vec<&String> = self.stored.keys().collect();
        let used: Vec<&String> = self.used.keys().collect();
        assert_eq!(used, stored, "cases used by the test and cases in the file");
    }
}

fn read_cases(path: &PathBuf) -> BTreeMap<String, Vec<u8>> {
    let text = std::fs::read_to_string(path).unwrap();
    let mut cases = BTreeMap::new();
    for line in text.lines() {
        let (name, digits) = line.split_once(' ').expect(line);
        let previous = cases.insert(name.to_string(), parse_hex(digits));
        assert!(previous.is_none(), "duplicate case {name}");
    }
    cases
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_hex(digits: &str) -> Vec<u8> {
    assert!(
        digits.len().is_multiple_of(2),
        "odd number of hexadecimal digits: {digits}"
    );
    let byte = |start: usize| u8::from_str_radix(&digits[start..start + 2], 16).expect(digits);
    (0..digits.len()).step_by(2).map(byte).collect()
}

pub(crate) fn encode_value(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).unwrap();
    bytes
}

pub(crate) fn map<const N: usize>(fields: [(&str, Value); N]) -> Value {
    Value::Map(fields.map(|(name, value)| (name.into(), value)).to_vec())
}

pub(crate) fn array<const N: usize>(values: [Value; N]) -> Value {
    Value::Array(values.to_vec())
}

pub(crate) fn strings<const N: usize>(values: [&str; N]) -> Vec<String> {
    values.map(String::from).to_vec()
}
