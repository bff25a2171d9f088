/** The records that nodes keep on the platform's log service. */
package dev.wisteriarail.core.log;
