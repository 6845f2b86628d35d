//! A JSON scanner that returns values as their original text.
//!
//! It has two purposes. First, `nanoserde` skips members that the target type does not have without checking
//! them, and never returns if the text ends inside one. Therefore only text that [`is_complete_document`]
//! accepts is passed to it. Second, a change of a configuration keeps the exact text of everything that it
//! does not change.
//!
//! The functions of the scanner return `None` if the text is not valid JSON (RFC 8259).

/// Maximum depth of nested values. Bounds the stack, as the scanner is recursive.
const MAX_DEPTH: u32 = 64;

/// Returns whether `text` is exactly one JSON value.
pub fn is_complete_document(text: &str) -> bool {
    let mut reader = Reader::new(text);
    reader.value(MAX_DEPTH).is_some() && reader.peek().is_none()
}

/// Returns the names of an object's members, without quotation marks, and the texts of their values; `None`
/// if the text is not exactly one object.
pub fn members(text: &str) -> Option<Vec<(&str, &str)>> {
    let mut reader = Reader::new(text);
    let mut members = Vec::new();
    reader.object(MAX_DEPTH, &mut |name, value| members.push((name, value)))?;
    reader.peek().is_none().then_some(members)
}

/// Returns the texts of an array's elements; `None` if the text is not exactly one array.
pub fn elements(text: &str) -> Option<Vec<&str>> {
    let mut reader = Reader::new(text);
    let mut elements = Vec::new();
    reader.array(MAX_DEPTH, &mut |element| elements.push(element))?;
    reader.peek().is_none().then_some(elements)
}

struct Reader<'a> {
    text: &'a str,
    /// Offset of the next byte.
    position: usize,
}

impl<'a> Reader<'a> {
    fn new(text: &'a str) -> Reader<'a> {
        Reader { text, position: 0 }
    }

    /// Returns the text that `read` consumes, without leading white space.
    fn text_of(&mut self, read: impl FnOnce(&mut Reader<'a>) -> Option<()>) -> Option<&'a str> {
        self.peek()?;
        let start = self.position;
        read(self)?;
        self.text.get(start..self.position)
    }

    /// Consumes the next byte.
    fn next(&mut self) -> Option<u8> {
        let byte = self.text.as_bytes().get(self.position).copied()?;
        self.position += 1;
        Some(byte)
    }

    /// Consumes the next byte if it satisfies a condition.
    fn next_if(&mut self, condition: impl FnOnce(u8) -> bool) -> Option<u8> {
        let byte = self.text.as_bytes().get(self.position).copied().filter(|byte| condition(*byte))?;
        self.position += 1;
        Some(byte)
    }

    /// Consumes white space, and returns the byte after it without consuming it.
    fn peek(&mut self) -> Option<u8> {
        while self.next_if(|byte| matches!(byte, b' ' | b'\t' | b'\n' | b'\r')).is_some() {}
        self.text.as_bytes().get(self.position).copied()
    }

    /// Consumes white space, and the byte after it if that is the expected one.
    fn take(&mut self, expected: u8) -> Option<()> {
        (self.peek()? == expected).then(|| {
            self.position += 1;
        })
    }

    /// Consumes a value that is nested at most `depth` levels deep.
    fn value(&mut self, depth: u32) -> Option<()> {
        let depth = depth.checked_sub(1)?;
        match self.peek()? {
            b'{' => self.object(depth, &mut |_, _| {}),
            b'[' => self.array(depth, &mut |_| {}),
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

    /// Consumes an object and passes each member's name, without quotation marks, and value to `on_member`.
    fn object(&mut self, depth: u32, on_member: &mut dyn FnMut(&'a str, &'a str)) -> Option<()> {
        self.take(b'{')?;
        if self.take(b'}').is_some() {
            return Some(());
        }
        loop {
            let name = self.text_of(Reader::string)?;
            self.take(b':')?;
            let value = self.text_of(|reader| reader.value(depth))?;
            on_member(&name[1..name.len() - 1], value);
            if self.take(b',').is_none() {
                return self.take(b'}');
            }
        }
    }

    /// Consumes an array and passes each element to `on_element`.
    fn array(&mut self, depth: u32, on_element: &mut dyn FnMut(&'a str)) -> Option<()> {
        self.take(b'[')?;
        if self.take(b']').is_some() {
            return Some(());
        }
        loop {
            on_element(self.text_of(|reader| reader.value(depth))?);
            if self.take(b',').is_none() {
                return self.take(b']');
            }
        }
    }

    /// Consumes a string with its quotation marks.
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

    /// Consumes the rest of an escape sequence, after the backslash.
    fn escape(&mut self) -> Option<()> {
        match self.next()? {
            b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't' => Some(()),
            b'u' => (0..4).try_for_each(|_| self.next()?.is_ascii_hexdigit().then_some(())),
            _ => None,
        }
    }

    /// Consumes one or more digits.
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
