/**
 * What a node knows of runners and of its peers, who coordinates, who may give orders to runners,
 * and which model is loaded where.
 */
package dev.wisteriarail.core.fleet;
