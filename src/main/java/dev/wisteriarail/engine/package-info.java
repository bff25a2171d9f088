/** Engines and plain services over HTTP. */
package dev.wisteriarail.engine;
