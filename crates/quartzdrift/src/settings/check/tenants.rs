//! Checks of `[[customers]]`.
use super::collector::ErrorCollector;
use crate::settings::raw::File;
use std::collections::HashMap;

/// Maximum sum of the shares; the excess over 1 covers rounding in the file.
const MAX_TOTAL_SHARE: f64 = 1.001;

/// Index of each tenant by its name.
pub(super) fn indexes(raw: &File) -> HashMap<String, u32> {
    let names = raw.tenants.iter().map(|tenant| tenant.get_ref().name.clone());
    names.zip(0..).collect()
}

/// Checks each tenant, the sum of the shares, and that a header for tenants has tenants.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) {
    check_each(raw, errors);
    check_total(raw, errors);
    if raw.gateway.tenant_field.is_some() && raw.tenants.is_empty() {
        errors.add_at_key(
            "gateway",
            "customer_field",
            "a field tells customers, but none are named",
            "add [[customers]], or leave customer_field out",
        );
    }
}

fn check_each(raw: &File, errors: &mut ErrorCollector) {
    for (index, entry) in raw.tenants.iter().enumerate() {
        let tenant = entry.get_ref();
        let earlier = &raw.tenants[..index];
        if earlier.iter().any(|other| other.get_ref().name == tenant.name) {
            errors.add(
                entry.span(),
                format!("customer '{}' stands twice", tenant.name),
                "give each customer a name of its own",
            );
        }
        if tenant.share.is_some_and(|share| !(0.0..=1.0).contains(&share)) {
            errors.add(
                entry.span(),
                format!("customer '{}': the share is no share", tenant.name),
                "write a number from 0 to 1",
            );
        }
    }
}

fn check_total(raw: &File, errors: &mut ErrorCollector) {
    let total: f64 = raw
        .tenants
        .iter()
        .filter_map(|tenant| tenant.get_ref().share)
        .sum();
    if total > MAX_TOTAL_SHARE {
        let position = raw.tenants.first().map_or(0..0, |tenant| tenant.span());
        errors.add(
            position,
            format!("the customers' shares come to {total:.3}"),
            "make them come to 1 at most",
        );
    }
}
