/** The operators' configuration of routes, services and the models that their runners can hold. */
package dev.wisteriarail.core.route;
