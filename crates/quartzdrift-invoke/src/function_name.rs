//! Function names in the formats that the Invoke API accepts: a plain name, a partial ARN
//! (`account:function:name`) or a full ARN, each with or without `:qualifier`.
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Maximum number of characters of a name (API reference, Invoke, FunctionName).
const MAX_NAME_LENGTH: usize = 140;
/// Maximum size of a name, partial ARN or full ARN with its qualifier (API reference, Invoke, FunctionName).
const MAX_TEXT_BYTES: usize = 256;
/// Maximum number of characters of a qualifier (API reference, Invoke, Qualifier).
const MAX_QUALIFIER_LENGTH: usize = 128;
/// Number of digits of an account id.
const ACCOUNT_ID_LENGTH: usize = 12;
/// Qualifier of the unpublished version, which a name without a qualifier refers to as well.
const LATEST_QUALIFIER: &str = "$LATEST";

/// Reason why a text is not a valid function name. The messages are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FunctionNameError {
    /// The text exceeds 256 bytes.
    #[error("the function name is too long")]
    TooLong,
    /// The ARN is of another service or another kind of resource.
    #[error("the ARN is not of a function")]
    NotAFunctionArn,
    /// The ARN lacks its last parts.
    #[error("the ARN is cut short")]
    IncompleteArn,
    /// The account id does not have twelve digits.
    #[error("the account is not twelve digits")]
    InvalidAccount,
    /// The text has more parts than any of the accepted formats.
    #[error("the function name has too many parts")]
    TooManyParts,
    /// The name is empty, has more than 140 characters, or has a character that names may not have.
    #[error("the function name has characters other than letters, digits, '-' and '_'")]
    InvalidName,
    /// The qualifier is not a valid version or alias.
    #[error("the qualifier is neither $LATEST, a version nor an alias")]
    InvalidQualifier,
    /// The name and the request have different qualifiers.
    #[error("the qualifier beside the name differs from the one in it")]
    ConflictingQualifiers,
}

/// A parsed function name with its optional qualifier, account and region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FunctionName {
    /// Name without qualifier, account and region.
    pub name: String,
    /// Version or alias.
    pub qualifier: Option<String>,
    /// Account id of a partial or full ARN.
    pub account: Option<String>,
    /// Region of a full ARN.
    pub region: Option<String>,
}

impl FunctionName {
    /// Parses a name in any of the accepted formats.
    ///
    /// # Errors
    /// [`FunctionNameError`] with the invalid part.
    pub fn parse(text: &str) -> Result<FunctionName, FunctionNameError> {
        if text.len() > MAX_TEXT_BYTES {
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
        if !is_identifier(name, MAX_NAME_LENGTH) {
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

    /// Adds the qualifier of the request's query. An empty qualifier counts as none.
    ///
    /// # Errors
    /// [`FunctionNameError`] if the qualifier is invalid or differs from the qualifier in the name.
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

    /// The name under which the function is loaded and routed. It includes the qualifier, unless that is
    /// `$LATEST`, because each version and alias is loaded separately.
    pub fn qualified_name(&self) -> String {
        match self.qualifier.as_deref() {
            None | Some(LATEST_QUALIFIER) => self.name.clone(),
            Some(qualifier) => format!("{}:{qualifier}", self.name),
        }
    }
}

/// Splits the region and the parts before it off a full ARN; returns other formats unchanged.
fn split_region<'a, 'b>(parts: &'b [&'a str]) -> Result<(Option<&'a str>, &'b [&'a str]), FunctionNameError> {
    match parts {
        ["arn", partition, service, region, rest @ ..] => {
            if !partition.starts_with("aws")
                || *service != "lambda"
                || !is_identifier(region, MAX_NAME_LENGTH)
            {
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

/// Splits `account:function` off a partial ARN or the rest of a full one; returns other formats unchanged.
fn split_account<'a, 'b>(
    parts: &'b [&'a str],
) -> Result<(Option<&'a str>, &'b [&'a str]), FunctionNameError> {
    match parts {
        [account, "function", rest @ ..] if !rest.is_empty() => {
            let is_account =
                account.len() == ACCOUNT_ID_LENGTH && account.bytes().all(|byte| byte.is_ascii_digit());
            if !is_account {
                return Err(FunctionNameError::InvalidAccount);
            }
            Ok((Some(account), rest))
        }
        _ => Ok((None, parts)),
    }
}

/// Whether a text consists of 1 to `max_length` ASCII letters, digits, `-` and `_`.
fn is_identifier(text: &str, max_length: usize) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= max_length && text.chars().all(is_allowed)
}

fn is_qualifier(text: &str) -> bool {
    matches!(text, LATEST_QUALIFIER | "$LATEST.PUBLISHED") || is_identifier(text, MAX_QUALIFIER_LENGTH)
}
