//! MessagePack values: the subset that the protocol page allows (maps, lists, text, numbers, booleans, null).

#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Nil,
    Bool(bool),
    Uint(u64),
    Int(i64),
    Float(f64),
    Text(String),
    List(Vec<V>),
    Map(Vec<(V, V)>),
}

pub fn text(value: &str) -> V {
    V::Text(value.to_string())
}

pub fn map(fields: Vec<(&str, V)>) -> V {
    V::Map(
        fields
            .into_iter()
            .map(|(key, value)| (text(key), value))
            .collect(),
    )
}

impl V {
    pub fn get(&self, name: &str) -> Option<&V> {
        let V::Map(fields) = self else { return None };
        let found = fields.iter().find(|(key, _)| key.as_str() == Some(name))?;
        Some(&found.1).filter(|value| **value != V::Nil)
    }
    pub fn as_str(&self) -> Option<&str> {
        match self {
            V::Text(value) => Some(value),
            _ => None,
        }
    }
    pub fn as_u64(&self) -> Option<u64> {
        match self {
            V::Uint(value) => Some(*value),
            V::Int(value) => u64::try_from(*value).ok(),
            _ => None,
        }
    }
    pub fn as_bool(&self) -> Option<bool> {
        match self {
            V::Bool(value) => Some(*value),
            _ => None,
        }
    }
    pub fn as_list(&self) -> &[V] {
        match self {
            V::List(items) => items,
            _ => &[],
        }
    }
    pub fn str_of(&self, name: &str) -> Option<String> {
        Some(self.get(name)?.as_str()?.to_string())
    }
    pub fn u64_of(&self, name: &str) -> Option<u64> {
        self.get(name)?.as_u64()
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            V::Nil => out.push(0xc0),
            V::Bool(value) => out.push(0xc2 + u8::from(*value)),
            V::Uint(value) if *value < 128 => out.push(*value as u8),
            V::Uint(value) => {
                out.push(0xcf);
                out.extend(value.to_be_bytes());
            }
            V::Int(value) => {
                out.push(0xd3);
                out.extend(value.to_be_bytes());
            }
            V::Float(value) => {
                out.push(0xcb);
                out.extend(value.to_be_bytes());
            }
            V::Text(value) => {
                let length = value.len();
                if length < 32 {
                    out.push(0xa0 | length as u8);
                } else if length < 65536 {
                    out.push(0xda);
                    out.extend((length as u16).to_be_bytes());
                } else {
                    out.push(0xdb);
                    out.extend((length as u32).to_be_bytes());
                }
                out.extend(value.as_bytes());
            }
            V::List(items) => {
                if items.len() < 16 {
                    out.push(0x90 | items.len() as u8);
                } else {
                    out.push(0xdd);
                    out.extend((items.len() as u32).to_be_bytes());
                }
                items.iter().for_each(|item| item.write(out));
            }
            V::Map(fields) => {
                if fields.len() < 16 {
                    out.push(0x80 | fields.len() as u8);
                } else {
                    out.push(0xdf);
                    out.extend((fields.len() as u32).to_be_bytes());
                }
                for (key, value) in fields {
                    key.write(out);
                    value.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value()?;
        (reader.at == bytes.len()).then_some(value)
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn take(&mut self, count: usize) -> Option<&[u8]> {
        let taken = self.bytes.get(self.at..self.at.checked_add(count)?)?;
        self.at += count;
        Some(taken)
    }
    fn number(&mut self, count: usize) -> Option<u64> {
        Some(
            self.take(count)?
                .iter()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte)),
        )
    }
    fn text(&mut self, length: usize) -> Option<V> {
        Some(V::Text(
            String::from_utf8(self.take(length)?.to_vec()).ok()?,
        ))
    }
    fn list(&mut self, length: usize) -> Option<V> {
        (0..length)
            .map(|_| self.value())
            .collect::<Option<Vec<V>>>()
            .map(V::List)
    }
    fn map(&mut self, length: usize) -> Option<V> {
        (0..length)
            .map(|_| Some((self.value()?, self.value()?)))
            .collect::<Option<Vec<(V, V)>>>()
            .map(V::Map)
    }
    fn value(&mut self) -> Option<V> {
        let tag = self.number(1)? as u8;
        Some(match tag {
            0x00..=0x7f => V::Uint(u64::from(tag)),
            0x80..=0x8f => return self.map(usize::from(tag & 15)),
            0x90..=0x9f => return self.list(usize::from(tag & 15)),
            0xa0..=0xbf => return self.text(usize::from(tag & 31)),
            0xc0 => V::Nil,
            0xc2 => V::Bool(false),
            0xc3 => V::Bool(true),
            0xca => V::Float(f64::from(f32::from_bits(self.number(4)? as u32))),
            0xcb => V::Float(f64::from_bits(self.number(8)?)),
            0xcc..=0xcf => V::Uint(self.number(1 << (tag - 0xcc))?),
            0xd0 => V::Int(i64::from(self.number(1)? as i8)),
            0xd1 => V::Int(i64::from(self.number(2)? as i16)),
            0xd2 => V::Int(i64::from(self.number(4)? as i32)),
            0xd3 => V::Int(self.number(8)? as i64),
            0xd9..=0xdb => {
                let length = self.number(1 << (tag - 0xd9))? as usize;
                return self.text(length);
            }
            0xdc | 0xdd => {
                let length = self.number(2 << (tag - 0xdc))? as usize;
                return self.list(length);
            }
            0xde | 0xdf => {
                let length = self.number(2 << (tag - 0xde))? as usize;
                return self.map(length);
            }
            0xe0..=0xff => V::Int(i64::from(tag as i8)),
            _ => return None,
        })
    }
}
