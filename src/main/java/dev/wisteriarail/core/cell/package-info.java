/** Control of a cell: claims, decisions, reservations and engine orders. */
package dev.wisteriarail.core.cell;
