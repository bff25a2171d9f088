/** HTTP clients of the platform's log and VM list. */
package dev.wisteriarail.logservice;
