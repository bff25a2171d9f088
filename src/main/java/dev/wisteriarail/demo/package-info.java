/** A fleet of nodes and stand-ins in one process. */
package dev.wisteriarail.demo;
