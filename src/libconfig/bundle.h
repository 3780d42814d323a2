/*
 * Bundles: copies of many pages in one value of the configuration service, so
 * that a starting node gets some megabytes of pages with a few reads.
 */
#ifndef LIBCONFIG_BUNDLE_H
#define LIBCONFIG_BUNDLE_H

#include <glib.h>

#include "baobabward/publish.h"

/* Writer of bundles. */
struct bb_bundler;

/* Signs a page or a bundle. */
void bb_page_sign(struct bb_page *page, const uint8_t *secret);

/* Makes a writer that appends bundles to @out, an array of struct bb_page. */
struct bb_bundler *bb_bundler_new(const uint8_t *secret, GArray *out);
/* Adds a page, except one that is too large for a bundle. */
void bb_bundler_add(struct bb_bundler *b, const struct bb_page *page);
/* Finishes the last bundle and frees @b. */
void bb_bundler_finish(struct bb_bundler *b);

#endif
