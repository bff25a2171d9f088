/** The audit trail: what the log's records mean, told in sentences. */
package dev.wisteriarail.audit;
