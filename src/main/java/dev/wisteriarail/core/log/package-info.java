/** The records that nodes append to the platform's log service, and the log's health. */
package dev.wisteriarail.core.log;
