//! Whether a text is one whole JSON value. `nanoserde` passes over parts that it does not want, and stops the thread where
//! the text ends inside one of them; no text reaches it unchecked.

use std::str::Bytes;

/// Values within values. Bounds the stack.
const DEPTH_MOST: u32 = 64;

struct Reader<'a> {
    rest: std::iter::Peekable<Bytes<'a>>,
}

/// Whether `text` is one JSON value and nothing else.
pub fn is_whole(text: &str) -> bool {
    let mut reader = Reader { rest: text.bytes().peekable() };
    reader.value(DEPTH_MOST).is_some() && reader.peek().is_none()
}

impl Reader<'_> {
    /// The next byte that is not white space.
    fn peek(&mut self) -> Option<u8> {
        while self.rest.next_if(|byte| matches!(byte, b' ' | b'\t' | b'\n' | b'\r')).is_some() {}
        self.rest.peek().copied()
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        (self.peek()? == expected).then(|| {
            self.rest.next();
        })
    }

    fn value(&mut self, depth: u32) -> Option<()> {
        let depth = depth.checked_sub(1)?;
        match self.peek()? {
            b'{' => self.object(depth),
            b'[' => self.array(depth),
            b'"' => self.string(),
            b't' => self.word("true"),
            b'f' => self.word("false"),
            b'n' => self.word("null"),
            _ => self.number(),
        }
    }

    fn word(&mut self, word: &str) -> Option<()> {
        word.bytes().try_for_each(|byte| (self.rest.next()? == byte).then_some(()))
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
            match self.rest.next()? {
                b'"' => return Some(()),
                b'\\' => self.escape()?,
                byte if byte < b' ' => return None,
                _ => {}
            }
        }
    }

    fn escape(&mut self) -> Option<()> {
        match self.rest.next()? {
            b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't' => Some(()),
            b'u' => (0..4).try_for_each(|_| self.rest.next()?.is_ascii_hexdigit().then_some(())),
            _ => None,
        }
    }

    fn digits(&mut self) -> Option<()> {
        self.rest.next_if(u8::is_ascii_digit)?;
        while self.rest.next_if(u8::is_ascii_digit).is_some() {}
        Some(())
    }

    fn number(&mut self) -> Option<()> {
        self.rest.next_if_eq(&b'-');
        if self.rest.next_if_eq(&b'0').is_none() {
            self.digits()?;
        }
        if self.rest.next_if_eq(&b'.').is_some() {
            self.digits()?;
        }
        if self.rest.next_if(|byte| matches!(byte, b'e' | b'E')).is_some() {
            self.rest.next_if(|byte| matches!(byte, b'+' | b'-'));
            self.digits()?;
        }
        Some(())
    }
}
