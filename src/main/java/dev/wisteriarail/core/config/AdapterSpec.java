package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.ModelId;

/**
 * Configuration of an adapter.
 *
 * @param id the adapter's identifier
 * @param customer the customer that may call it
 * @param model the model that it is applied to
 * @param memoryBytes accelerator memory that it needs in addition to the model's, in bytes
 */
public record AdapterSpec(AdapterId id, CustomerId customer, ModelId model, long memoryBytes) {}
