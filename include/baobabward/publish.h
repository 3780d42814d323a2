/*
 * Published form of a configuration: a hash tree of signed pages.
 *
 * The index page lists the list pages, and each list page lists pages of rows,
 * always with their hashes, so that a change of one row changes three small
 * pages. Every page is signed by the operators, so that it may be taken from
 * any peer.
 */
#ifndef BAOBABWARD_PUBLISH_H
#define BAOBABWARD_PUBLISH_H

#include <stddef.h>
#include <stdint.h>

#include "baobabward/config.h"
#include "baobabward/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Size limit of an encoded page, the configuration service's limit of a value.
 */
#define BB_PAGE_SIZE_MAX 1000000
#define BB_PAGE_HASH_SIZE 32
/* Maximum length of a page name, in bytes. */
#define BB_PAGE_NAME_MAX 64
#define BB_PAGE_SIGNATURE_SIZE 64
#define BB_SIGNING_PUBLIC_KEY_SIZE 32
#define BB_SIGNING_SECRET_KEY_SIZE 64
/* Name of the index page. */
#define BB_PAGE_INDEX "index"
/* The name of a bundle is this prefix and its number, counted from 0. */
#define BB_BUNDLE_PREFIX "bundle-"
/* Maximum number of bundles of a publication. */
#define BB_BUNDLES_MAX 1000

/**
 * struct bb_page - a signed page.
 * @name: name, unique in its publication
 * @content: JSON text
 * @size: number of bytes of @content
 * @signature: Ed25519 signature over name and content
 */
struct bb_page {
	char *name;
	char *content;
	size_t size;
	uint8_t signature[BB_PAGE_SIGNATURE_SIZE];
};

/**
 * struct bb_index_entry - a page as listed in the index or in a list page.
 * @name: name of the page
 * @version: version of the configuration in which the page last changed
 * @hash: BLAKE2b-256 hash of its content
 */
struct bb_index_entry {
	char *name;
	uint64_t version;
	uint8_t hash[BB_PAGE_HASH_SIZE];
};

/**
 * struct bb_index - list of the pages of a publication.
 * @version: version of the configuration
 * @lists: list pages, from the index page
 * @lists_nr: number of @lists
 * @bundles_nr: number of bundles that hold copies of the pages
 * @entries: the settings page, then the pages of rows in the order in which
 *           they are read; NULL until bb_index_expand()
 * @entries_nr: number of @entries
 */
struct bb_index {
	uint64_t version;
	struct bb_index_entry *lists;
	size_t lists_nr;
	uint32_t bundles_nr;
	struct bb_index_entry *entries;
	size_t entries_nr;
};

/**
 * struct bb_publication - all pages of a configuration.
 * @pages: the index page, then the list pages, then the pages of rows, each in
 *         the order of their list
 * @pages_nr: number of @pages
 * @bundles: copies of the list pages and the pages of rows, many in one value,
 *           for starting nodes: the configuration service counts a read of a
 *           small page the same as a read of a megabyte
 * @bundles_nr: number of @bundles
 */
struct bb_publication {
	struct bb_page *pages;
	size_t pages_nr;
	struct bb_page *bundles;
	size_t bundles_nr;
};

/**
 * bb_signing_key_generate() - generate a key pair for the operators.
 * @public_key: filled in
 * @secret: filled in
 * @err: filled in on failure
 *
 * Return: 0, or -1.
 */
int bb_signing_key_generate(uint8_t public_key[BB_SIGNING_PUBLIC_KEY_SIZE],
			    uint8_t secret[BB_SIGNING_SECRET_KEY_SIZE],
			    struct bb_error *err);

/**
 * bb_page_verify() - check the signature of a page.
 * @page: page
 * @public_key: key of the operators
 * @err: filled in on failure
 *
 * Return: 0, or -1.
 */
int bb_page_verify(const struct bb_page *page,
		   const uint8_t public_key[BB_SIGNING_PUBLIC_KEY_SIZE],
		   struct bb_error *err);

/**
 * bb_page_hash() - compute the BLAKE2b-256 hash of a page's content.
 * @page: page
 * @hash: filled in
 */
void bb_page_hash(const struct bb_page *page, uint8_t hash[BB_PAGE_HASH_SIZE]);

/**
 * bb_page_encode() - encode a page as the configuration service stores it.
 * @page: page
 * @size: set to the number of bytes
 *
 * The encoded page is the signature as 128 hexadecimal digits, a newline, and
 * the content.
 *
 * Return: bytes that the caller frees with g_free().
 */
char *bb_page_encode(const struct bb_page *page, size_t *size);

/**
 * bb_page_decode() - decode what bb_page_encode() returned.
 * @name: name under which the page was requested
 * @data: bytes
 * @size: number of bytes
 * @err: filled in on failure
 *
 * Does not check the signature.
 *
 * Return: page that the caller frees with bb_page_delete(), or NULL.
 */
struct bb_page *bb_page_decode(const char *name, const char *data, size_t size,
			       struct bb_error *err);

/**
 * bb_page_new() - make a page from received parts.
 * @name: page name
 * @content: JSON text, not terminated
 * @size: number of bytes of @content
 * @signature: signature
 *
 * Return: page that the caller frees with bb_page_delete().
 */
struct bb_page *bb_page_new(const char *name, const char *content, size_t size,
			    const uint8_t signature[BB_PAGE_SIGNATURE_SIZE]);

/**
 * bb_page_delete() - free a page.
 * @page: page, may be NULL
 */
void bb_page_delete(struct bb_page *page);

/**
 * bb_index_parse() - read an index page.
 * @page: page, whose signature has been checked
 * @err: filled in on failure
 *
 * Return: index that the caller frees with bb_index_delete(), or NULL.
 */
struct bb_index *bb_index_parse(const struct bb_page *page,
				struct bb_error *err);

/**
 * bb_page_find_fn - look up a page by name.
 * @context: of the caller
 * @name: name of the page
 *
 * Return: the page, which stays owned by the callee, or NULL.
 */
typedef const struct bb_page *bb_page_find_fn(void *context, const char *name);

/**
 * bb_index_expand() - fill in the entries of an index from its list pages.
 * @index: index from bb_index_parse()
 * @find: finds a list page
 * @context: passed to @find
 * @err: filled in on failure
 *
 * Return: 0, or -1.
 */
int bb_index_expand(struct bb_index *index, bb_page_find_fn *find,
		    void *context, struct bb_error *err);

/**
 * bb_index_delete() - free an index.
 * @index: index, may be NULL
 */
void bb_index_delete(struct bb_index *index);

/**
 * bb_publication_build() - split a configuration into signed pages.
 * @c: configuration
 * @previous: expanded index of the publication before, or NULL; unchanged pages
 *            keep the version that it lists
 * @secret: secret signing key
 * @err: filled in on failure
 *
 * The result is deterministic: equal arguments give equal bytes.
 *
 * Return: publication that the caller frees with bb_publication_delete(), or
 *         NULL.
 */
struct bb_publication *
bb_publication_build(const struct bb_config *c, const struct bb_index *previous,
		     const uint8_t secret[BB_SIGNING_SECRET_KEY_SIZE],
		     struct bb_error *err);

/**
 * bb_bundle_page_fn() - called with a page of a bundle.
 * @context: as passed to bb_bundle_read()
 * @page: page, valid during the call; its signature has not been checked
 */
typedef void bb_bundle_page_fn(void *context, const struct bb_page *page);

/**
 * bb_bundle_read() - call a function with each page of a bundle, in order.
 * @bundle: bundle whose signature has been checked
 * @page_fn: called for each page
 * @context: passed to @page_fn
 * @err: filled in on failure
 *
 * Return: 0, or -1 if the bundle is malformed; @page_fn may have been called
 * with the pages before the malformed one.
 */
int bb_bundle_read(const struct bb_page *bundle, bb_bundle_page_fn *page_fn,
		   void *context, struct bb_error *err);

/**
 * bb_publication_delete() - free a publication.
 * @p: publication, may be NULL
 */
void bb_publication_delete(struct bb_publication *p);

/**
 * bb_publication_assemble() - build a snapshot from the pages of an index.
 * @index: expanded index, from pages whose signature has been checked
 * @find: finds a page
 * @context: passed to @find
 * @err: filled in on failure
 *
 * Fails if a page does not have the hash that the index lists, such as a page
 * of another version. Checks all rules of bb_config_parse() on the whole
 * configuration.
 *
 * Return: snapshot owned by the caller, or NULL.
 */
struct bb_config *bb_publication_assemble(const struct bb_index *index,
					  bb_page_find_fn *find, void *context,
					  struct bb_error *err);

/**
 * bb_page_read() - read a page from a directory.
 * @directory: directory with a file per page, encoded by bb_page_encode()
 * @name: page name
 * @err: filled in on failure; BB_ERROR_NOT_FOUND when there is no such file
 *
 * Return: page that the caller frees with bb_page_delete(), or NULL.
 */
struct bb_page *bb_page_read(const char *directory, const char *name,
			     struct bb_error *err);

/**
 * bb_publication_write() - write a publication to a directory.
 * @p: publication
 * @directory: existing directory
 * @err: filled in on failure
 *
 * Replaces each file by a rename, the index last, so that a reader of the new
 * index finds all of its pages.
 *
 * Return: 0, or -1.
 */
int bb_publication_write(const struct bb_publication *p, const char *directory,
			 struct bb_error *err);

/**
 * bb_publication_prune() - remove the pages that are no longer listed.
 * @p: publication that has been written
 * @previous: expanded index of the publication before, or NULL
 * @directory: directory
 * @err: filled in on failure
 *
 * Removes only files of pages and bundles that @previous lists and @p does not
 * have.
 *
 * Return: 0, or -1.
 */
int bb_publication_prune(const struct bb_publication *p,
			 const struct bb_index *previous, const char *directory,
			 struct bb_error *err);

#ifdef __cplusplus
}
#endif
#endif
