//! Checks of `[[customers]]`, the tenants.
use super::collector::ErrorCollector;
use crate::settings::raw::File;
use std::collections::HashMap;

/// Maximum sum of the tenants' shares. The excess over 1 allows for rounded shares in the file.
const MAX_TOTAL_SHARE: f64 = 1.001;

/// Index of each tenant, by name.
pub(super) fn indexes(raw: &File) -> HashMap<String, u32> {
    let names = raw.tenants.iter().map(|tenant| tenant.get_ref().name.clone());
    names.zip(0..).collect()
}

/// Checks each tenant and the sum of the shares. `gateway.customer_field` requires at least one tenant.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) {
    check_each(raw, errors);
    check_total(raw, errors);
    if raw.gateway.tenant_field.is_some() && raw.tenants.is_empty() {
        errors.add_at_key(
            "gateway",
            "customer_field",
            "customer_field is set, but no customer is defined",
            "add [[customers]], or remove customer_field",
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
                format!("customer '{}' is defined twice", tenant.name),
                "give each customer a unique name",
            );
        }
        if let Some(share) = tenant.share
            && !(0.0..=1.0).contains(&share)
        {
            errors.add(
                entry.span(),
                format!(
                    "customer '{}': share is {share}, the limit is 0 to 1",
                    tenant.name
                ),
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
            format!("the shares of all customers add up to {total:.3}, the limit is 1"),
            "reduce the shares to a sum of at most 1",
        );
    }
}
