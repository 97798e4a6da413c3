/**
 * Routes callers' requests to services according to the operators' configuration. Start reading at
 * {@link org.mustardlink.routing.RoutingTable}.
 */
package org.mustardlink.routing;
