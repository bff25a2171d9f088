/**
 * Typed identifiers and numbers.
 *
 * <p>Each is an immutable record around one value and is serialized as that bare value.
 */
package dev.wisteriarail.core.id;
