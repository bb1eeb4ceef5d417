//! A small JSON reader and writer. Numbers keep their text, so that large integers stay exact.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

pub static NULL: Json = Json::Null;

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value(0)?;
        reader.space();
        (reader.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&NULL, |(_, value)| value),
            _ => &NULL,
        }
    }

    pub fn set(&mut self, name: &str, value: Json) {
        if let Json::Map(fields) = self {
            match fields.iter_mut().find(|(key, _)| key == name) {
                Some(field) => field.1 = value,
                None => fields.push((name.into(), value)),
            }
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn u64(&self) -> Option<u64> {
        match self {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn f64(&self) -> f64 {
        match self {
            Json::Num(text) => text.parse().unwrap_or(0.0),
            _ => 0.0,
        }
    }

    pub fn bool(&self) -> bool {
        *self == Json::Bool(true)
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Json {
        Json::Str(text.into())
    }
}
impl From<String> for Json {
    fn from(text: String) -> Json {
        Json::Str(text)
    }
}
impl From<u64> for Json {
    fn from(number: u64) -> Json {
        Json::Num(number.to_string())
    }
}
impl From<f64> for Json {
    fn from(number: f64) -> Json {
        Json::Num(format!("{number:?}"))
    }
}
impl From<bool> for Json {
    fn from(value: bool) -> Json {
        Json::Bool(value)
    }
}
impl From<Vec<Json>> for Json {
    fn from(items: Vec<Json>) -> Json {
        Json::List(items)
    }
}

/// Builds an object.
pub fn obj<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Map(fields.into_iter().map(|(k, v)| (k.into(), v)).collect())
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Num(text) => f.write_str(text),
            Json::Str(text) => write_text(f, text),
            Json::List(items) => {
                f.write_str("[")?;
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_str("]")
            }
            Json::Map(fields) => {
                f.write_str("{")?;
                for (i, (key, value)) in fields.iter().enumerate() {
                    if i > 0 {
                        f.write_str(",")?;
                    }
                    write_text(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
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

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self
            .bytes
            .get(self.at)
            .is_some_and(|b| b.is_ascii_whitespace())
        {
            self.at += 1;
        }
    }

    fn eat(&mut self, text: &str) -> Option<()> {
        if self.bytes[self.at..].starts_with(text.as_bytes()) {
            self.at += text.len();
            return Some(());
        }
        None
    }

    fn value(&mut self, depth: usize) -> Option<Json> {
        if depth > 64 {
            return None;
        }
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    self.space();
                    if self.eat("}").is_some() {
                        return Some(Json::Map(fields));
                    }
                    if !fields.is_empty() {
                        self.eat(",")?;
                        self.space();
                    }
                    let key = self.text()?;
                    self.space();
                    self.eat(":")?;
                    fields.push((key, self.value(depth + 1)?));
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                loop {
                    self.space();
                    if self.eat("]").is_some() {
                        return Some(Json::List(items));
                    }
                    if !items.is_empty() {
                        self.eat(",")?;
                    }
                    items.push(self.value(depth + 1)?);
                }
            }
            b'"' => self.text().map(Json::Str),
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'n' => self.eat("null").map(|()| Json::Null),
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| matches!(b, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E'))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse::<f64>().ok()?;
                Some(Json::Num(text.into()))
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => {
                    out.push(other);
                    self.at += 1;
                }
            }
        }
    }
}
