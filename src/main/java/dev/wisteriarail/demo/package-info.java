/** Demos that run nodes and stand-ins in one process and check the outcomes. */
package dev.wisteriarail.demo;
