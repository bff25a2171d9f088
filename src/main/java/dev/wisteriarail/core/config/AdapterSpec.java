package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.ModelId;

/**
 * One adapter as its team described it.
 *
 * @param id the adapter
 * @param customer the customer that may call it
 * @param model the model that it is applied to
 * @param memoryBytes accelerator memory that it takes beside the model, in bytes
 */
public record AdapterSpec(AdapterId id, CustomerId customer, ModelId model, long memoryBytes) {}
