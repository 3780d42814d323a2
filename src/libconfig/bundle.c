/* Writes and reads bundles of signed pages. */
#include "bundle.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "config_internal.h"

/*
 * Limit of the pages in a bundle. Leaves room for the signature and the JSON
 * around the pages within BB_PAGE_SIZE_MAX.
 */
#define BUNDLE_BYTES_MAX 990000
/* Number of hexadecimal digits of a signature. */
#define SIGNATURE_DIGITS (2 * BB_PAGE_SIGNATURE_SIZE)

/**
 * struct bb_bundler - writer of bundles.
 * @secret: secret signing key
 * @out: finished bundles
 * @content: JSON text of the bundle being written, empty between bundles
 */
struct bb_bundler {
	const uint8_t *secret;
	GArray *out;
	GString *content;
};

struct bb_bundler *bb_bundler_new(const uint8_t *secret, GArray *out)
{
	struct bb_bundler *b = g_new0(struct bb_bundler, 1);

	b->secret = secret;
	b->out = out;
	b->content = g_string_new(NULL);
	return b;
}

static void finish_bundle(struct bb_bundler *b)
{
	struct bb_page bundle = { 0 };

	if (!b->content->len)
		return;
	g_string_append(b->content, "]}\n");
	bundle.name = g_strdup_printf(BB_BUNDLE_PREFIX "%u", b->out->len);
	bundle.size = b->content->len;
	bundle.content = g_strndup(b->content->str, b->content->len);
	bb_page_sign(&bundle, b->secret);
	g_array_append_val(b->out, bundle);
	g_string_set_size(b->content, 0);
}

void bb_bundler_add(struct bb_bundler *b, const struct bb_page *page)
{
	char digits[SIGNATURE_DIGITS + 1];
	json_t *o;
	char *text;
	size_t size;

	sodium_bin2hex(digits, sizeof(digits), page->signature,
		       sizeof(page->signature));
	o = json_pack("{s:s, s:s, s:s#}", "name", page->name, "signature",
		      digits, "content", page->content, page->size);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	size = strlen(text);
	if (b->content->len + size > BUNDLE_BYTES_MAX)
		finish_bundle(b);
	if (size <= BUNDLE_BYTES_MAX) {
		g_string_append(b->content,
				b->content->len ? ",\n" : "{\"pages\":[\n");
		g_string_append_len(b->content, text, (gssize)size);
	}
	free(text);
}

void bb_bundler_finish(struct bb_bundler *b)
{
	finish_bundle(b);
	g_string_free(b->content, TRUE);
	g_free(b);
}

static int read_item(const json_t *item, bb_bundle_page_fn *page_fn,
		     void *context)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	const char *digits =
		json_string_value(json_object_get(item, "signature"));
	const json_t *content = json_object_get(item, "content");
	struct bb_page page = { 0 };

	if (!name || strlen(name) > BB_PAGE_NAME_MAX || !digits ||
	    !json_is_string(content) || strlen(digits) != SIGNATURE_DIGITS ||
	    sodium_hex2bin(page.signature, sizeof(page.signature), digits,
			   SIGNATURE_DIGITS, NULL, NULL, NULL))
		return -1;
	page.name = (char *)name;
	page.content = (char *)json_string_value(content);
	page.size = json_string_length(content);
	page_fn(context, &page);
	return 0;
}

int bb_bundle_read(const struct bb_page *bundle, bb_bundle_page_fn *page_fn,
		   void *context, struct bb_error *err)
{
	json_t *root = bb_config_load_json(bundle->content, bundle->size,
					   "bundle", err);
	const json_t *items = json_object_get(root, "pages");
	size_t i;
	json_t *item;
	int rc = 0;

	if (!root)
		return -1;
	if (json_object_size(root) != 1 || !json_is_array(items))
		rc = -1;
	json_array_foreach (items, i, item)
		rc = rc ? rc : read_item(item, page_fn, context);
	json_decref(root);
	if (!rc)
		return 0;
	return bb_error_set(err, BB_ERROR_INVALID, "%s is malformed",
			    bundle->name);
}
