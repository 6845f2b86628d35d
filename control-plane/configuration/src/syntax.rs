//! Whether a text is one whole JSON value, and where the parts of one stand in it. `nanoserde` passes over parts that it does
//! not want, and stops the thread where the text ends inside one of them; no text reaches it unchecked.

/// Values within values. Bounds the stack.
const MAX_DEPTH: u32 = 64;

struct Reader<'a> {
    text: &'a str,
    /// Where the next byte stands.
    at: usize,
}

/// Whether `text` is one JSON value and nothing else.
pub fn is_complete_document(text: &str) -> bool {
    let mut reader = Reader::new(text);
    reader.value(MAX_DEPTH).is_some() && reader.peek().is_none()
}

/// The names and values of an object, as they are written; `None` where the text is no object.
pub fn members(text: &str) -> Option<Vec<(&str, &str)>> {
    let mut reader = Reader::new(text);
    let mut members = Vec::new();
    reader.take(b'{')?;
    if reader.take(b'}').is_none() {
        loop {
            let name = reader.written(Reader::string)?;
            reader.take(b':')?;
            let value = reader.written(|reader| reader.value(MAX_DEPTH))?;
            // Without its quotation marks.
            members.push((&name[1..name.len() - 1], value));
            if reader.take(b',').is_none() {
                reader.take(b'}')?;
                break;
            }
        }
    }
    reader.peek().is_none().then_some(members)
}

/// The values of an array, as they are written; `None` where the text is no array.
pub fn elements(text: &str) -> Option<Vec<&str>> {
    let mut reader = Reader::new(text);
    let mut elements = Vec::new();
    reader.take(b'[')?;
    if reader.take(b']').is_none() {
        loop {
            elements.push(reader.written(|reader| reader.value(MAX_DEPTH))?);
            if reader.take(b',').is_none() {
                reader.take(b']')?;
                break;
            }
        }
    }
    reader.peek().is_none().then_some(elements)
}

impl<'a> Reader<'a> {
    fn new(text: &'a str) -> Reader<'a> {
        Reader { text, at: 0 }
    }

    /// The text of what `read` passes over.
    fn written(&mut self, read: impl FnOnce(&mut Reader<'a>) -> Option<()>) -> Option<&'a str> {
        self.peek()?;
        let from = self.at;
        read(self)?;
        self.text.get(from..self.at)
    }

    fn next(&mut self) -> Option<u8> {
        let byte = self.text.as_bytes().get(self.at).copied()?;
        self.at += 1;
        Some(byte)
    }

    fn next_if(&mut self, wanted: impl FnOnce(u8) -> bool) -> Option<u8> {
        let byte = self.text.as_bytes().get(self.at).copied().filter(|byte| wanted(*byte))?;
        self.at += 1;
        Some(byte)
    }

    /// The next byte that is not white space.
    fn peek(&mut self) -> Option<u8> {
        while self.next_if(|byte| matches!(byte, b' ' | b'\t' | b'\n' | b'\r')).is_some() {}
        self.text.as_bytes().get(self.at).copied()
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        (self.peek()? == expected).then(|| {
            self.at += 1;
        })
    }

    fn value(&mut self, depth: u32) -> Option<()> {
        let depth = depth.checked_sub(1)?;
        match self.peek()? {
            b'{' => self.object(depth),
            b'[' => self.array(depth),
            b'"' => self.string(),
            b't' => self.literal("true"),
            b'f' => self.literal("false"),
            b'n' => self.literal("null"),
            _ => self.number(),
        }
    }

    fn literal(&mut self, word: &str) -> Option<()> {
        word.bytes().try_for_each(|byte| (self.next()? == byte).then_some(()))
    }

    fn object(&mut self, depth: u32) -> Option<()> {
        self.take(b'{')?;
        if self.take(b'}').is_some() {
            return Some(());
        }
        loop {
            self.string()?;
            self.take(b':')?;
            self.value(depth)?;
            if self.take(b',').is_none() {
                return self.take(b'}');
            }
        }
    }

    fn array(&mut self, depth: u32) -> Option<()> {
        self.take(b'[')?;
        if self.take(b']').is_some() {
            return Some(());
        }
        loop {
            self.value(depth)?;
            if self.take(b',').is_none() {
                return self.take(b']');
            }
        }
    }

    fn string(&mut self) -> Option<()> {
        self.take(b'"')?;
        loop {
            match self.next()? {
                b'"' => return Some(()),
                b'\\' => self.escape()?,
                byte if byte < b' ' => return None,
                _ => {}
            }
        }
    }

    fn escape(&mut self) -> Option<()> {
        match self.next()? {
            b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't' => Some(()),
            b'u' => (0..4).try_for_each(|_| self.next()?.is_ascii_hexdigit().then_some(())),
            _ => None,
        }
    }

    fn digits(&mut self) -> Option<()> {
        self.next_if(|byte| byte.is_ascii_digit())?;
        while self.next_if(|byte| byte.is_ascii_digit()).is_some() {}
        Some(())
    }

    fn number(&mut self) -> Option<()> {
        self.next_if(|byte| byte == b'-');
        if self.next_if(|byte| byte == b'0').is_none() {
            self.digits()?;
        }
        if self.next_if(|byte| byte == b'.').is_some() {
            self.digits()?;
        }
        if self.next_if(|byte| matches!(byte, b'e' | b'E')).is_some() {
            self.next_if(|byte| matches!(byte, b'+' | b'-'));
            self.digits()?;
        }
        Some(())
    }
}
