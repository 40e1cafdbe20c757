//! Minimal JSON: parsing, access and output.

use std::collections::BTreeMap;
use std::fmt;

/// JSON value; numbers are kept as `f64`, which is exact for the integers of the platform's interfaces.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Self> {
        match self {
            Self::Map(map) => map.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> &[Self] {
        match self.get(key) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

/// Quotes a text as a JSON string.
pub fn quote(text: &str) -> String {
    Json::Text(text.to_owned()).to_string()
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(flag) => write!(f, "{flag}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => {
                f.write_str("\"")?;
                for c in text.chars() {
                    match c {
                        '"' => f.write_str("\\\"")?,
                        '\\' => f.write_str("\\\\")?,
                        c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
                        c => write!(f, "{c}")?,
                    }
                }
                f.write_str("\"")
            }
            Self::List(list) => {
                f.write_str("[")?;
                for (index, value) in list.iter().enumerate() {
                    write!(f, "{}{value}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Self::Map(map) => {
                f.write_str("{")?;
                for (index, (key, value)) in map.iter().enumerate() {
                    write!(f, "{}{}:{value}", if index > 0 { "," } else { "" }, quote(key))?;
                }
                f.write_str("}")
            }
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: &str) -> Option<()> {
        let end = self.at + expected.len();
        (self.bytes.get(self.at..end)? == expected.as_bytes()).then(|| self.at = end)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                self.skip_space();
                while self.bytes.get(self.at)? != &b']' {
                    list.push(self.value()?);
                    self.end_of_entry(b']')?;
                }
                self.at += 1;
                Some(Json::List(list))
            }
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                self.skip_space();
                while self.bytes.get(self.at)? != &b'}' {
                    let key = self.string()?;
                    self.skip_space();
                    self.take(":")?;
                    let value = self.value()?;
                    map.insert(key, value);
                    self.end_of_entry(b'}')?;
                }
                self.at += 1;
                Some(Json::Map(map))
            }
            _ => {
                let from = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    /// Skips the comma after an entry; without one, the closing bracket must follow.
    fn end_of_entry(&mut self, close: u8) -> Option<()> {
        self.skip_space();
        if self.bytes.get(self.at)? == &b',' {
            self.at += 1;
            self.skip_space();
            return Some(());
        }
        (self.bytes.get(self.at)? == &close).then_some(())
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'b' => text.push(8),
                        b'f' => text.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let c = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            text.extend(c.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                byte => text.push(byte),
            }
        }
    }
}
