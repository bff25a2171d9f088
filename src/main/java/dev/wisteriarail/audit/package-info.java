/** The audit trail: descriptions of the log's records and of the events of a request. */
package dev.wisteriarail.audit;
