"""Reading of fields whose invalid values are replaced by defaults."""

from hawthornspoke.fields._fields import FieldError, text


class LenientReader:
    """Reads fields and replaces an invalid value by a default.

    For fields whose invalid value should not make the whole document unusable. Each
    replacement is recorded, so that the caller can report it.

    Parameters
    ----------
    name_field : str, default="name"
        Field that names an object in the records.

    Attributes
    ----------
    replaced_values : list of str
        One text for each value that was replaced.
    """

    __slots__ = ("name_field", "replaced_values")

    def __init__(self, *, name_field="name"):
        self.name_field = name_field
        self.replaced_values = []

    def read(self, accessor, obj, name, default, *, owner=None, **options):
        """Return the value of a field, the default if it is missing or invalid.

        A missing field is not recorded.

        Parameters
        ----------
        accessor : callable
            Accessor of this package that takes a default, such as ``number``.
        obj : dict
        name : str
        default : object
        owner : str or None, default=None
            Name for the records of an object that has none.
        **options
            Further arguments of the accessor, such as bounds.

        Returns
        -------
        object

        Raises
        ------
        FieldError
            If the value and the object's name are both invalid: the replacement could
            not be reported with its place.
        """
        try:
            return accessor(obj, name, default, **options)
        except FieldError as error:
            owner = owner or text(obj, self.name_field)
            self.replaced_values.append(f"{owner}: {error}; used: {default}")
            return default
