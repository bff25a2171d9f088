/** Load and experiments against running nodes, with percentiles and outcome counts. */
package dev.wisteriarail.load;
