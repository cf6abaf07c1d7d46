//! Function names in the forms that the Invoke API accepts: a name, `name:qualifier`, a partial ARN
//! (`account:function:name`) or a complete one, each with or without a qualifier.
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Maximum characters of a name (API reference, Invoke, FunctionName).
const MAX_NAME: usize = 140;
/// Maximum bytes of the whole text (API reference, Invoke, FunctionName).
const MAX_TEXT: usize = 256;
/// Maximum characters of a qualifier (API reference, Invoke, Qualifier).
const MAX_QUALIFIER: usize = 128;
/// Digits of an account's id.
const ACCOUNT_LENGTH: usize = 12;
/// The qualifier of the latest version, which is the function itself.
const LATEST: &str = "$LATEST";

/// Why a text is no function name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FunctionNameError {
    /// The text is over the limit.
    #[error("the function name is too long")]
    TooLong,
    /// An ARN of another service or resource.
    #[error("the ARN is not of a function")]
    NotAFunctionArn,
    /// An ARN without its last parts.
    #[error("the ARN is cut short")]
    IncompleteArn,
    /// An account that is not twelve digits.
    #[error("the account is not twelve digits")]
    InvalidAccount,
    /// More parts than any form has.
    #[error("the function name has too many parts")]
    TooManyParts,
    /// A name of characters that names do not have, or of none, or of too many.
    #[error("the function name has characters other than letters, digits, '-' and '_'")]
    InvalidName,
    /// A qualifier that is no version or alias.
    #[error("the qualifier is neither $LATEST, a version nor an alias")]
    InvalidQualifier,
    /// Two qualifiers that differ.
    #[error("the qualifier beside the name differs from the one in it")]
    ConflictingQualifiers,
}

/// A function's name and what qualifies it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FunctionName {
    /// The name alone.
    pub name: String,
    /// Its version or alias.
    pub qualifier: Option<String>,
    /// The account in an ARN.
    pub account: Option<String>,
    /// The region in a complete ARN.
    pub region: Option<String>,
}

impl FunctionName {
    /// Reads a name in any of the forms.
    ///
    /// # Errors
    /// [`FunctionNameError`] says which part is invalid.
    pub fn parse(text: &str) -> Result<FunctionName, FunctionNameError> {
        if text.len() > MAX_TEXT {
            return Err(FunctionNameError::TooLong);
        }
        let parts: Vec<&str> = text.split(':').collect();
        let (region, parts) = split_region(&parts)?;
        let (account, parts) = split_account(parts)?;
        if region.is_some() && account.is_none() {
            return Err(FunctionNameError::NotAFunctionArn);
        }
        let (name, qualifier) = match *parts {
            [name] => (name, None),
            [name, qualifier] => (name, Some(qualifier)),
            _ => return Err(FunctionNameError::TooManyParts),
        };
        if !is_word(name, MAX_NAME) {
            return Err(FunctionNameError::InvalidName);
        }
        if qualifier.is_some_and(|text| !is_qualifier(text)) {
            return Err(FunctionNameError::InvalidQualifier);
        }
        Ok(FunctionName {
            name: name.to_owned(),
            qualifier: qualifier.map(str::to_owned),
            account: account.map(str::to_owned),
            region: region.map(str::to_owned),
        })
    }

    /// Adds a qualifier that was given beside the name.
    ///
    /// # Errors
    /// [`FunctionNameError`] if it is invalid, or differs from the one in the name.
    pub fn with_qualifier(mut self, qualifier: Option<&str>) -> Result<FunctionName, FunctionNameError> {
        let Some(qualifier) = qualifier.filter(|text| !text.is_empty()) else {
            return Ok(self);
        };
        if !is_qualifier(qualifier) {
            return Err(FunctionNameError::InvalidQualifier);
        }
        if self.qualifier.as_deref().is_some_and(|own| own != qualifier) {
            return Err(FunctionNameError::ConflictingQualifiers);
        }
        self.qualifier = Some(qualifier.to_owned());
        Ok(self)
    }

    /// The name under which the function is loaded and routed: each version and alias is loaded on its own.
    pub fn qualified_name(&self) -> String {
        match self.qualifier.as_deref() {
            None | Some(LATEST) => self.name.clone(),
            Some(qualifier) => format!("{}:{qualifier}", self.name),
        }
    }
}

/// The region of a complete ARN, and the parts after it; other forms stay as they are.
fn split_region<'a, 'b>(parts: &'b [&'a str]) -> Result<(Option<&'a str>, &'b [&'a str]), FunctionNameError> {
    match parts {
        ["arn", partition, service, region, rest @ ..] => {
            if !partition.starts_with("aws") || *service != "lambda" || !is_word(region, MAX_NAME) {
                return Err(FunctionNameError::NotAFunctionArn);
            }
            if rest.len() < 3 {
                return Err(FunctionNameError::IncompleteArn);
            }
            Ok((Some(region), rest))
        }
        ["arn", ..] => Err(FunctionNameError::IncompleteArn),
        _ => Ok((None, parts)),
    }
}

/// The account of an ARN, and the parts after it.
fn split_account<'a, 'b>(
    parts: &'b [&'a str],
) -> Result<(Option<&'a str>, &'b [&'a str]), FunctionNameError> {
    match parts {
        [account, "function", rest @ ..] if !rest.is_empty() => {
            let is_account =
                account.len() == ACCOUNT_LENGTH && account.bytes().all(|byte| byte.is_ascii_digit());
            if !is_account {
                return Err(FunctionNameError::InvalidAccount);
            }
            Ok((Some(account), rest))
        }
        _ => Ok((None, parts)),
    }
}

fn is_word(text: &str, max_length: usize) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= max_length && text.chars().all(is_allowed)
}

fn is_qualifier(text: &str) -> bool {
    matches!(text, LATEST | "$LATEST.PUBLISHED") || is_word(text, MAX_QUALIFIER)
}
