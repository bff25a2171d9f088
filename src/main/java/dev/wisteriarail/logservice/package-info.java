/** The platform's log service and VM list over HTTP. */
package dev.wisteriarail.logservice;
