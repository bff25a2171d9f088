/** Configuration of routes, of services and of the models that their runners can load. */
package dev.wisteriarail.core.route;
