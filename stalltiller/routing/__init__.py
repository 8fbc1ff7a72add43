"""The engine between the decision module and the fronts.  It knows no wire."""
