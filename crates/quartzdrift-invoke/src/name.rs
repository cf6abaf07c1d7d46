//! Function names in the forms that the Invoke API takes: a name, `name:qualifier`, a partial ARN
//! (`account:function:name`) or a whole one, each with or without a qualifier.

/// Characters of a name, and of the whole text, at most (API reference, Invoke, FunctionName).
const MAX_NAME: usize = 140;
const MAX_TEXT: usize = 256;
const MAX_QUALIFIER: usize = 128;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FunctionName {
    pub name: String,
    pub qualifier: Option<String>,
    pub account: Option<String>,
    pub region: Option<String>,
}

fn word(text: &str, most: usize) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= most && text.chars().all(fits)
}

fn qualifier(text: &str) -> bool {
    matches!(text, "$LATEST" | "$LATEST.PUBLISHED") || word(text, MAX_QUALIFIER)
}

impl FunctionName {
    /// `Err` says what part does not fit.
    pub fn parse(text: &str) -> Result<FunctionName, &'static str> {
        if text.len() > MAX_TEXT {
            return Err("the function name is too long");
        }
        let mut parts: Vec<&str> = text.split(':').collect();
        let (mut region, mut account) = (None, None);
        if parts[0] == "arn" {
            let [_, partition, service, told, ..] = parts[..] else {
                return Err("the ARN is cut short");
            };
            if !partition.starts_with("aws") || service != "lambda" || !word(told, MAX_NAME) {
                return Err("the ARN is not of a function");
            }
            region = Some(told.to_owned());
            parts.drain(..4);
            if parts.len() < 3 {
                return Err("the ARN is cut short");
            }
        }
        if parts.len() >= 3 && parts[1] == "function" {
            if parts[0].len() != 12 || !parts[0].bytes().all(|b| b.is_ascii_digit()) {
                return Err("the account is not twelve digits");
            }
            account = Some(parts[0].to_owned());
            parts.drain(..2);
        } else if region.is_some() {
            return Err("the ARN is not of a function");
        }
        let (name, told) = match parts[..] {
            [name] => (name, None),
            [name, told] => (name, Some(told)),
            _ => return Err("the function name has too many parts"),
        };
        if !word(name, MAX_NAME) {
            return Err("the function name has characters other than letters, digits, '-' and '_'");
        }
        if told.is_some_and(|q| !qualifier(q)) {
            return Err("the qualifier is neither $LATEST, a version nor an alias");
        }
        Ok(FunctionName {
            name: name.to_owned(),
            qualifier: told.map(str::to_owned),
            account,
            region,
        })
    }

    /// With the qualifier that came beside the name; two that differ are an error.
    pub fn qualified(mut self, told: Option<&str>) -> Result<FunctionName, &'static str> {
        if let Some(told) = told.filter(|t| !t.is_empty()) {
            if !qualifier(told) {
                return Err("the qualifier is neither $LATEST, a version nor an alias");
            }
            if self.qualifier.as_deref().is_some_and(|q| q != told) {
                return Err("the qualifier beside the name differs from the one in it");
            }
            self.qualifier = Some(told.to_owned());
        }
        Ok(self)
    }

    /// What is loaded and routed: a function's versions and aliases are loaded each on their own.
    pub fn loaded(&self) -> String {
        match self.qualifier.as_deref() {
            None | Some("$LATEST") => self.name.clone(),
            Some(qualifier) => format!("{}:{qualifier}", self.name),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_published_forms_are_read() {
        let cases = [
            ("quote", ("quote", None, None)),
            ("quote:v1", ("quote", Some("v1"), None)),
            ("quote:$LATEST", ("quote", Some("$LATEST"), None)),
            (
                "123456789012:function:quote",
                ("quote", None, Some("123456789012")),
            ),
            (
                "arn:aws:lambda:eu-west-1:123456789012:function:quote:3",
                ("quote", Some("3"), Some("123456789012")),
            ),
        ];
        for (text, (name, told, account)) in cases {
            let read = FunctionName::parse(text).unwrap();
            assert_eq!(
                (read.name.as_str(), read.qualifier.as_deref()),
                (name, told),
                "{text}"
            );
            assert_eq!(read.account.as_deref(), account, "{text}");
        }
        assert_eq!(FunctionName::parse("quote:$LATEST").unwrap().loaded(), "quote");
        assert_eq!(
            FunctionName::parse("quote")
                .unwrap()
                .qualified(Some("v2"))
                .unwrap()
                .loaded(),
            "quote:v2"
        );
    }

    #[test]
    fn others_are_refused() {
        let bad = [
            "",
            "a b",
            "a:b:c",
            "arn:aws:lambda",
            "arn:aws:s3:x:123456789012:function:q",
            "1:function:q",
        ];
        bad.iter()
            .for_each(|text| assert!(FunctionName::parse(text).is_err(), "{text}"));
        assert!(FunctionName::parse("arn:aws:lambda:eu:x:layer:q").is_err());
        assert!(
            FunctionName::parse("quote:v1")
                .unwrap()
                .qualified(Some("v2"))
                .is_err()
        );
    }

    proptest::proptest! {
        #[test]
        fn any_text_is_read_or_refused(text: String) {
            if let Ok(read) = FunctionName::parse(&text) {
                let again = FunctionName::parse(&read.loaded()).unwrap();
                proptest::prop_assert_eq!(again.loaded(), read.loaded());
            }
        }
    }
}
