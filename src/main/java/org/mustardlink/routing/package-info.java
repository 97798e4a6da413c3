/**
 * The operators' configuration as requests are routed by it. Start reading at {@link
 * org.mustardlink.routing.RoutingTable}.
 */
package org.mustardlink.routing;
