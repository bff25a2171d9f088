/**
 * Typed identifiers and numbers.
 *
 * <p>Except for {@link LogPosition}, each type is an immutable record that wraps a single value and
 * is serialized as that value.
 */
package dev.wisteriarail.core.id;
